/**
 * @fileoverview Turns of routers at a limit that isn't enough for a lease of each.
 *
 * Load pattern: many routers want connections of a service whose servers accept
 * few. A lease of less than one connection is of no use, so some routers get one
 * or more each, and those that have waited for longest follow when a turn is over.
 */

/** A router that wants a lease. */
export interface LeaseCandidate {
  router: string;
  /** What the lease should allow; only the proportion to others counts. */
  need: number;
  /** Whether it has a share of the limit now. */
  hasShare: boolean;
}

/** The turn of a router, or its wait for one. */
interface LeaseTurn {
  waitsSince: number;
  /** Whether it was chosen last. */
  isChosen: boolean;
  /** When the router got its share; undefined before. */
  startedAt?: number;
}

/** Turns at one limit. Times are monotonic, in milliseconds. */
export class LeaseTurns {
  private turns = new Map<string, LeaseTurn>();

  /** @param turnMilliseconds Time for which a router keeps its lease from others. */
  constructor(private readonly turnMilliseconds: number) {}

  /**
   * Returns the candidates that get leases: those in their turns, then others by
   * the time for which they have waited. Who is no candidate loses its place.
   */
  choose<T extends LeaseCandidate>(
    candidates: readonly T[],
    count: number,
    now: number,
  ): T[] {
    const turns = new Map<string, LeaseTurn>();
    const ordered = candidates
      .map(candidate => {
        const {router, hasShare} = candidate;
        const turn = this.turns.get(router) ?? {
          waitsSince: now,
          isChosen: false,
        };
        if (turn.isChosen && hasShare) turn.startedAt ??= now;
        turns.set(router, turn);
        return {candidate, turn, order: this.orderOf(turn, now)};
      })
      .sort((a, b) => a.order.rank - b.order.rank || a.order.key - b.order.key);
    this.turns = turns;
    ordered.forEach(({turn}, index) => setChosen(turn, index < count, now));
    return ordered.slice(0, count).map(({candidate}) => candidate);
  }

  private orderOf(
    {isChosen, startedAt, waitsSince}: LeaseTurn,
    now: number,
  ): {rank: number; key: number} {
    if (!isChosen) return {rank: 1, key: waitsSince};
    const age = startedAt === undefined ? 0 : now - startedAt;
    if (age < this.turnMilliseconds) return {rank: 0, key: waitsSince};
    // The one that has had its lease for longest makes way first.
    return {rank: 2, key: age};
  }
}

function setChosen(turn: LeaseTurn, isChosen: boolean, now: number): void {
  if (turn.isChosen && !isChosen) {
    turn.waitsSince = now;
    turn.startedAt = undefined;
  }
  turn.isChosen = isChosen;
}

/**
 * Divides a limit by need, with a smallest part for everybody.
 *
 * @param least Smallest part; all of them together must not exceed the total.
 */
export function divideByNeed<T extends {need: number}>(
  total: number,
  candidates: readonly T[],
  least: number,
): Map<T, number> {
  const parts = new Map<T, number>();
  let rest = total;
  let others = [...candidates];
  for (;;) {
    const sum = others.reduce((sum, {need}) => sum + need, 0);
    const partOf = ({need}: T) => (rest * need) / sum;
    const small = others.filter(each => partOf(each) < least);
    if (small.length === 0) {
      for (const each of others) parts.set(each, partOf(each));
      return parts;
    }
    for (const each of small) parts.set(each, least);
    others = others.filter(each => !parts.has(each));
    rest -= small.length * least;
  }
}
