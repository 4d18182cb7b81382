/**
 * @fileoverview Rounds of a router's search for the leader: whom it asks, and the
 * pauses in between.
 */

/** Pause between rounds. */
const searchPauseMilliseconds = 100;

/** The same where the search has lasted for longer than an election takes. */
const longSearchPauseMilliseconds = 250;

/** Duration of a search from which on the longer pause applies. */
const longSearchMilliseconds = 3_000;

/** What is known at the start of a round. */
export interface SearchState {
  /** Addresses of the known control processes. */
  addresses: readonly string[];
  /** Address that another control process has named as the leader. */
  namedLeader?: string;
  /** Whether a process may be holding a call until it has changes. */
  isHolding: (address: string) => boolean;
  /** Further processes that are called. */
  probes: number;
  /** Counts the processes that were called in earlier rounds. */
  probed: number;
}

/** Addresses by the kind of call that they get. */
export interface SearchTargets {
  /** For an immediate reply: a process that holds a call may lead already. */
  asked: string[];
  /** For a reply that may be delayed until there are changes. */
  polled: string[];
}

/** Chooses the named leader and some others in rotation. */
export function chooseTargets(state: SearchState): SearchTargets {
  const {addresses, namedLeader, isHolding, probes, probed} = state;
  const others = addresses.filter(address => !isHolding(address));
  const first = probed % Math.max(1, others.length);
  const rotated = [...others.slice(first), ...others.slice(0, first)];
  const polled = new Set(rotated.slice(0, probes));
  if (namedLeader !== undefined && !isHolding(namedLeader)) {
    polled.add(namedLeader);
  }
  return {asked: addresses.filter(isHolding), polled: [...polled]};
}

/** Returns the pause after a round of a search that has lasted for some time. */
export function searchPause(elapsedMilliseconds: number): number {
  return elapsedMilliseconds > longSearchMilliseconds
    ? longSearchPauseMilliseconds
    : searchPauseMilliseconds;
}
