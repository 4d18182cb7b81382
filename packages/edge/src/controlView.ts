/**
 * @fileoverview How current this router's copy of the fleet's state is: the time
 * up to which a leader has confirmed it, and what a leader has that it lacks.
 *
 * A leader vouches for a time by its own clock, counted from the receipt of the
 * request. Counted from the sending instead, that time is never too late.
 */
import {type LeaseRequestTime} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';
import {type LeaderHint, type LeaderView} from '@dogwoodtrestle/schema';

/**
 * Change of the wall time against the monotonic time that shows a suspension,
 * which the monotonic clock doesn't count.
 */
const suspensionMilliseconds = 100;

/** Confirmations that are later than now by more come from a suspension. */
const clockToleranceMilliseconds = 20;

/** Versions that this router has applied. */
export interface AppliedVersions {
  /** Version of the configuration; 0 for none. */
  configurationVersion: number;
  /** Identifies the directory of servers. */
  epoch: string;
  /** Revision of that directory. */
  revision: number;
  /** Revision of the evacuations; missing for 0. */
  evacuationRevision?: number;
}

/** Whether a view is of a new leader, the known one, or one that was replaced. */
export type ViewSource = 'newer' | 'current' | 'replaced';

/** Departures that a leader has in its directory. */
interface KnownDepartures {
  epoch: string;
  revision: number;
}

/** Knows how current the applied versions are. Times are monotonic. */
export class ControlView {
  private term = -1;
  private confirmedAt = -Infinity;
  private newestConfiguration = 0;
  private newestEvacuations = 0;
  private departures: KnownDepartures = {epoch: '', revision: 0};
  private wallOffset: number;

  constructor(
    private readonly clock: Clock,
    private readonly applied: () => AppliedVersions,
  ) {
    this.wallOffset = clock.wallNow() - clock.now();
  }

  /** Milliseconds since a leader confirmed it; Infinity if none has. */
  get ageMilliseconds(): number {
    this.detectSuspension();
    return this.clock.now() - this.confirmedAt;
  }

  /**
   * Whether a leader has a newer configuration, evacuations or departures that
   * this router lacks. Other changes of servers don't count, as requests may go on without.
   */
  get isBehind(): boolean {
    const {configurationVersion, epoch, revision} = this.applied();
    const {evacuationRevision = 0} = this.applied();
    const {departures} = this;
    const lacksDepartures =
      departures.epoch === epoch && departures.revision > revision;
    const lacksEvacuations = this.newestEvacuations > evacuationRevision;
    const lacksOthers = lacksDepartures || lacksEvacuations;
    return this.newestConfiguration > configurationVersion || lacksOthers;
  }

  /** Records the term of a view, and returns whose it is. */
  enterTerm({term}: LeaderView): ViewSource {
    if (term < this.term) return 'replaced';
    if (term === this.term) return 'current';
    this.term = term;
    return 'newer';
  }

  /**
   * Applies the view of a reply whose changes have been applied.
   *
   * @param time When the request was sent.
   */
  observe(view: LeaderView, time: LeaseRequestTime): ViewSource {
    this.observeVersion(view.configurationVersion);
    this.observeEvacuations(view.evacuationRevision ?? 0);
    const source = this.enterTerm(view);
    if (source === 'replaced') return source;
    const {epoch, departureRevision, confirmedMilliseconds} = view;
    this.observeDepartures(epoch, departureRevision);
    const isComplete = epoch === this.applied().epoch && !this.isBehind;
    if (isComplete) this.confirm(time, confirmedMilliseconds);
    return source;
  }

  /**
   * Applies the update of a leader that sends no views, as older versions of
   * this program: it had nothing newer when the request was sent.
   *
   * @returns Whether it counts; leaders that send views must do so to be believed.
   */
  observeUpdate(time: LeaseRequestTime): boolean {
    if (this.term >= 0) return false;
    this.confirm(time, 0);
    return true;
  }

  /** Records what a process that doesn't lead has applied; it is committed. */
  observeHint({
    configurationVersion = 0,
    evacuationRevision = 0,
  }: LeaderHint): void {
    this.observeVersion(configurationVersion);
    this.observeEvacuations(evacuationRevision);
  }

  /** Records a version of the configuration that is known to be committed. */
  observeVersion(version: number): void {
    this.newestConfiguration = Math.max(this.newestConfiguration, version);
  }

  /** Records a revision of the evacuations that is known to be committed. */
  private observeEvacuations(revision: number): void {
    this.newestEvacuations = Math.max(this.newestEvacuations, revision);
  }

  /** Records departures; replies may come in another order than they were sent. */
  private observeDepartures(epoch: string, revision: number): void {
    const {departures} = this;
    const known = departures.epoch === epoch ? departures.revision : 0;
    this.departures = {epoch, revision: Math.max(known, revision)};
  }

  private confirm(
    {sentAt, wallSentAt}: LeaseRequestTime,
    milliseconds: number,
  ): void {
    this.detectSuspension();
    const wasSuspended =
      Math.abs(wallSentAt - sentAt - this.wallOffset) > suspensionMilliseconds;
    const now = this.clock.now();
    const at = sentAt + milliseconds;
    if (wasSuspended || at > now + clockToleranceMilliseconds) return;
    this.confirmedAt = Math.max(this.confirmedAt, Math.min(at, now));
  }

  private detectSuspension(): void {
    const offset = this.clock.wallNow() - this.clock.now();
    if (Math.abs(offset - this.wallOffset) <= suspensionMilliseconds) return;
    this.wallOffset = offset;
    this.confirmedAt = -Infinity;
  }
}
