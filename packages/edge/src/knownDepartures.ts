/**
 * @fileoverview Departures of backend servers that a router has heard of. They are
 * final for their incarnation, whichever record arrives later.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** Limit of remembered departures, those of unknown servers included. */
const maxDepartures = 2_000;

/** Start of the last incarnation that left, by server. */
export class KnownDepartures {
  /** The oldest first. */
  private readonly startedAtById = new Map<string, number>();

  /** Records the departure of an incarnation. */
  record({id, startedAt}: BackendServerRecord): void {
    const latest = Math.max(startedAt, this.startedAtById.get(id) ?? startedAt);
    this.startedAtById.delete(id);
    this.startedAtById.set(id, latest);
    if (this.startedAtById.size <= maxDepartures) return;
    const [oldest] = this.startedAtById.keys();
    if (oldest !== undefined) this.startedAtById.delete(oldest);
  }

  /** Whether the incarnation of a record is known to have left. */
  has({id, startedAt}: BackendServerRecord): boolean {
    return startedAt <= (this.startedAtById.get(id) ?? -Infinity);
  }
}
