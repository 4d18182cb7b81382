/**
 * @fileoverview Which routers' lives are out of reach: they have not reported
 * for a time, and no other life of their instance has.
 */
import {type PrepaidState} from './prepaidAccounts.js';

/** Interval at which the list is made anew. */
const refreshMilliseconds = 500;

/** Routers that a leader does not hear of. */
export class LostRouters {
  private readonly heardAt = new Map<string, number>();
  private lost: readonly string[] = [];
  private refreshedAt = -Infinity;
  private newestAt = -Infinity;
  /** Before it this process did not lead, and heard of nobody. */
  private leadsSince = -Infinity;

  constructor(private readonly lostAfterMilliseconds: number) {}

  /** Lives that are out of reach; none until all had time to report. */
  get routers(): readonly string[] {
    return this.lost;
  }

  /** A router has reported. */
  heard(router: string, now: number, book: Readonly<PrepaidState>): void {
    // Some router reports at any time while a process leads.
    if (now - this.newestAt > this.lostAfterMilliseconds) this.leadsSince = now;
    this.newestAt = now;
    this.heardAt.set(router, now);
    if (now - this.refreshedAt < refreshMilliseconds) return;
    this.refreshedAt = now;
    const oldest = now - this.lostAfterMilliseconds;
    this.lost = Object.entries(book.routers)
      .filter(([name, {isOver}]) => {
        const heardAt = this.heardAt.get(name) ?? this.leadsSince;
        return !isOver && heardAt < oldest;
      })
      .map(([name]) => name);
    for (const [name, heardAt] of this.heardAt) {
      if (heardAt < oldest && book.routers[name]?.isOver !== false) {
        this.heardAt.delete(name);
      }
    }
  }
}
