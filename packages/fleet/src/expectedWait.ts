/**
 * @fileoverview Expected wait for one of several slots, by Sakasegawa's
 * approximation of the M/M/c queue.
 *
 * Load pattern: a server with free slots makes nobody wait, and the wait rises
 * steeply as its slots fill up.
 */

/** Utilization from which the wait grows with the queue only. */
const maxUtilization = 0.95;

/** What a wait follows from. */
export interface SlotUse {
  /** Requests that are open at the server. */
  openRequests: number;
  /** Requests that it runs at once. */
  slots: number;
  /** Mean time for which a request holds a slot. */
  holdMilliseconds: number;
}

/** Returns the time in milliseconds until a slot is free. */
export function expectedWait({
  openRequests,
  slots,
  holdMilliseconds,
}: SlotUse): number {
  const count = Math.max(1, slots);
  const load = openRequests / count;
  const utilization = Math.min(maxUtilization, load);
  const exponent = Math.sqrt(2 * (count + 1)) - 1;
  const share = utilization ** exponent / (count * (1 - utilization));
  const excess = Math.max(0, load - maxUtilization);
  return (share + excess) * holdMilliseconds;
}
