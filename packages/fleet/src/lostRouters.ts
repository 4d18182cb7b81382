/**
 * @fileoverview Tracks unreachable router incarnations: those that have not
 * reported for some time and were not replaced by another incarnation of their
 * instance.
 */
import {type PrepaidState} from './prepaidAccounts.js';

/** Least interval between two updates of the list. */
const refreshMilliseconds = 500;

/** Routers that don't report to this leader. Times are in milliseconds. */
export class LostRouters {
  private readonly reportedAt = new Map<string, number>();
  private lost: readonly string[] = [];
  private refreshedAt = -Infinity;
  private newestAt = -Infinity;
  private term?: number;
  /** Start of leadership; before it this process received no reports. */
  private ledSince = -Infinity;

  constructor(private readonly lostAfterMilliseconds: number) {}

  /** Names of unreachable incarnations; none until all had time to report. */
  get routers(): readonly string[] {
    return this.lost;
  }

  /** Forgets the reports of former terms; others received them since. */
  enterTerm(term: number, now: number): void {
    if (term === this.term) return;
    this.term = term;
    this.ledSince = now;
    this.reportedAt.clear();
    this.lost = [];
  }

  /** Records that a router has reported. */
  recordReport(
    router: string,
    now: number,
    state: Readonly<PrepaidState>,
  ): void {
    // While a process leads, reports arrive all the time; a gap means that it
    // did not lead.
    if (now - this.newestAt > this.lostAfterMilliseconds) this.ledSince = now;
    this.newestAt = now;
    this.reportedAt.set(router, now);
    if (now - this.refreshedAt < refreshMilliseconds) return;
    this.refreshedAt = now;
    const oldest = now - this.lostAfterMilliseconds;
    this.lost = Object.entries(state.routers)
      .filter(([name, {isOver}]) => {
        const reportedAt = this.reportedAt.get(name) ?? this.ledSince;
        return !isOver && reportedAt < oldest;
      })
      .map(([name]) => name);
    for (const [name, reportedAt] of this.reportedAt) {
      if (reportedAt < oldest && state.routers[name]?.isOver !== false) {
        this.reportedAt.delete(name);
      }
    }
  }
}
