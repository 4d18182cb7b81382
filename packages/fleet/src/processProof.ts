/**
 * @fileoverview What proves to a router that a backend server's process is still
 * the one that it knows.
 *
 * A router that is out of touch with the control processes doesn't hear of a server
 * that has started again, and is cold. But a connection lives no longer than the
 * process that has accepted it, so a byte on one that is known to lead to the known
 * process proves that this one lives; and so do connections that were opened before
 * that byte lead there.
 *
 * Without such a connection nothing is proven. A server without a proof is doubted
 * if its connections have ended, or if others of its service have a proof. A router
 * that has none at all, and has seen no end, goes on with the servers that it knows.
 */
import {announcedWithinMilliseconds} from './coldPeriod.js';

/** Shortest time in which a server ends and takes connections again. */
const restartMilliseconds = 1_000;

/**
 * Time since a confirmation up to which a router is in touch, where the server has
 * shown an end: a leader holds calls for a second, and replies need some time.
 */
const doubtMilliseconds = 1_200;

/** The same where it has shown none; a reply may be lost. */
const outOfTouchMilliseconds = 2_000;

/** What the proof of one incarnation is derived from. */
export interface ProcessProofOptions {
  /** Whether it matters that a server of this service has started again. */
  isLimited: () => boolean;
  /** Returns the time since a leader confirmed the servers, in milliseconds. */
  viewAgeMilliseconds: () => number;
  /** Whether the confirmed servers have this incarnation, and it is heard. */
  isListed: () => boolean;
  /** Whether a server of the service has a proof, so that others can be spared. */
  isServiceProven: (now: number) => boolean;
}

/** Age of a proof up to which a further byte doesn't renew it. */
const proofMilliseconds = 50;

/** Proof for one incarnation. Times are monotonic, in milliseconds. */
export class ProcessProof {
  /** When the known process has lived for certain. */
  private provenAt = -Infinity;
  private endedAt = -Infinity;

  constructor(private readonly options: ProcessProofOptions) {}

  /** Whether requests need a proof: the router wouldn't hear of a start. */
  isNeeded(now: number): boolean {
    const {viewAgeMilliseconds, isLimited, isServiceProven} = this.options;
    const age = viewAgeMilliseconds();
    if (age <= doubtMilliseconds || !isLimited()) return false;
    this.applyView(now);
    if (this.endedAt > this.provenAt) return true;
    return age > outOfTouchMilliseconds && isServiceProven(now);
  }

  /** Whether a connection leads to the known process by the time it was opened. */
  covers(openedAt: number, now: number): boolean {
    this.applyView(now);
    if (this.endedAt > this.provenAt) return false;
    return openedAt <= this.provenAt + restartMilliseconds;
  }

  /** Records a byte of a response on a connection. */
  recordByte(openedAt: number, now: number): void {
    if (now - this.provenAt < proofMilliseconds) return;
    if (this.covers(openedAt, now)) this.provenAt = now;
  }

  /** Records that the process has ended, or that its last connection has. */
  recordEnd(now: number): void {
    this.endedAt = now;
    this.provenAt = -Infinity;
  }

  /** An incarnation that is listed has announced itself lately. */
  private applyView(now: number): void {
    const {viewAgeMilliseconds, isListed} = this.options;
    if (!isListed()) return;
    const announcedAt =
      now - viewAgeMilliseconds() - announcedWithinMilliseconds;
    this.provenAt = Math.max(this.provenAt, announcedAt);
  }
}
