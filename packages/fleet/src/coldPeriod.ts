/**
 * @fileoverview Since when and until when one incarnation of a backend server
 * counts as cold at a router.
 *
 * A server is cold for the time that it announces. One that has announced nothing
 * counts as cold until it must have announced something; so does one whose process
 * has ended, since the next one at its address has just started, and one whose
 * failure domain is no longer evacuated: it may have turned cold shortly before, and
 * its announcement may be late.
 */

/**
 * Time within which a server that is there has announced whether it is cold: the
 * time after which the directory takes it for silent.
 */
export const announcedWithinMilliseconds = 4_000;

/** Why a server counts as cold; `unproven` for a router out of touch. */
export type ColdCause =
  'announced' | 'unknown' | 'restarting' | 'returned' | 'unproven';

/** An announcement of a server, or a record without one. */
export interface ColdAnnouncement {
  sequence: number;
  /** Time for which the server stays cold; missing if that is unknown. */
  coldMilliseconds?: number;
}

/** A cold period, for logs and metrics. */
export interface ColdView {
  cause: ColdCause;
  ageMilliseconds: number;
  remainingMilliseconds: number;
}

/** Cold period of one incarnation. Times are monotonic, in milliseconds. */
export class ColdPeriod {
  private announcedSequence = -Infinity;
  private announcedUntil = -Infinity;
  private restartingUntil = -Infinity;
  private returnedUntil = -Infinity;
  private startedAt: number;

  /** @param now When the router first hears of the incarnation. */
  constructor(now: number) {
    this.startedAt = now;
    this.announcedUntil = now + announcedWithinMilliseconds;
  }

  /** When the newest period began. */
  get since(): number {
    return this.startedAt;
  }

  /** Records what the server announced; an earlier announcement is dropped. */
  recordAnnouncement(
    {sequence, coldMilliseconds}: ColdAnnouncement,
    now: number,
  ): void {
    if (coldMilliseconds === undefined) return;
    if (sequence <= this.announcedSequence) return;
    const wasCold = this.isCold(now);
    this.announcedSequence = sequence;
    this.announcedUntil = now + coldMilliseconds;
    if (!wasCold) this.startedAt = now;
  }

  /** Records that its process has ended; what accepts connections next is new. */
  recordEnd(now: number): void {
    if (!this.isCold(now)) this.startedAt = now;
    this.restartingUntil = now + announcedWithinMilliseconds;
  }

  /** Records that the evacuation of its failure domain has ended. */
  recordReturned(now: number): void {
    if (!this.isCold(now)) this.startedAt = now;
    this.returnedUntil = now + announcedWithinMilliseconds;
  }

  /** Whether the server counts as cold. */
  isCold(now: number): boolean {
    return now < this.until;
  }

  /** Returns the period; undefined if the server is warm. */
  view(now: number): ColdView | undefined {
    if (!this.isCold(now)) return undefined;
    const {until} = this;
    return {
      cause: this.causeAt(now),
      ageMilliseconds: Math.round(now - this.startedAt),
      remainingMilliseconds: Math.ceil(until - now),
    };
  }

  private get until(): number {
    const {announcedUntil, restartingUntil, returnedUntil} = this;
    return Math.max(announcedUntil, restartingUntil, returnedUntil);
  }

  private causeAt(now: number): ColdCause {
    if (now >= this.announcedUntil) {
      return now < this.restartingUntil ? 'restarting' : 'returned';
    }
    const isUnknown = this.announcedSequence === -Infinity;
    return isUnknown ? 'unknown' : 'announced';
  }
}
