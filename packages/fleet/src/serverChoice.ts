/**
 * @fileoverview Chooses the backend server of an attempt.
 *
 * Prompts that share a part go to the server that rendezvous hashing ranks
 * first for that part, so that all routers agree without talking and a part is
 * read once. Where that server has work queued that would take longer than
 * reading the part again, the next one in the rank gets the request.
 *
 * Long prompts hold up everything that is read after them, so they go to a few
 * servers of their own, and other requests avoid these.
 */
import {rendezvousWeight} from './rendezvous.js';

/** A server that may get the attempt. */
export interface ServerCandidate {
  id: string;
  failureDomain?: string;
  /** Own requests that are open at the server. */
  openRequests: number;
  /** Prompt tokens of own requests that have no first event yet. */
  unreadTokens: number;
  slots: number;
  /** A server that failed or fell silent lately is a last resort. */
  isSuspect: boolean;
  /** Whether this router sent the shared part there lately. */
  hasCachedPrefix: boolean;
}

/** The work to be placed. */
export interface PlacementRequest {
  /** Part of the prompt that other requests share, where there is one. */
  affinityKey?: string;
  /** Prompt tokens up to the end of that part. */
  prefixTokens: number;
  /** Tokens of the whole prompt. */
  promptTokens: number;
  failureDomain: string;
}

export interface ServerChoiceOptions {
  /**
   * Unread tokens that weigh as much as one open request: tokens that an
   * engine reads while it makes one step for a batch.
   */
  tokensPerOpenRequest: number;
  /** Weight of own queued work, as other routers queue there as well. */
  queueWeight: number;
  /** Tokens by which a rank further down the list costs more. */
  tokensPerRank: number;
  /** Prompt tokens from which a request counts as long. */
  longPromptTokens: number;
  /** Part of the servers that long prompts go to. */
  longShare: number;
  /** Tokens by which a server of the other kind costs more. */
  tokensPerOtherKind: number;
}

export const defaultServerChoiceOptions: ServerChoiceOptions = {
  tokensPerOpenRequest: 150,
  queueWeight: 1.5,
  tokensPerRank: 200,
  // Two to three times the usual prompt of the users' longest kind.
  longPromptTokens: 18_000,
  longShare: 0.25,
  tokensPerOtherKind: 9_000,
};

/** Returns the best server, or undefined where there is none. */
export function chooseServer(
  candidates: readonly ServerCandidate[],
  demand: PlacementRequest,
  random: () => number,
  options: Partial<ServerChoiceOptions> = {},
): ServerCandidate | undefined {
  const tuning = {...defaultServerChoiceOptions, ...options};
  const sound = candidates.filter(({isSuspect}) => !isSuspect);
  const pool = sound.length > 0 ? sound : candidates;
  return demand.affinityKey === undefined
    ? leastLoaded(pool, demand, random)
    : cheapest(pool, demand, demand.affinityKey, tuning);
}

/** The one with the fewest open requests for its slots, near ones first. */
function leastLoaded(
  pool: readonly ServerCandidate[],
  {failureDomain}: PlacementRequest,
  random: () => number,
): ServerCandidate | undefined {
  const costOf = (candidate: ServerCandidate) =>
    candidate.openRequests / Math.max(1, candidate.slots) +
    (candidate.failureDomain === failureDomain ? 0 : distantLoad) +
    random() * tieBreak;
  return minimumBy(pool, costOf);
}

/** Part of its slots by which a server in another failure domain is dearer. */
const distantLoad = 0.1;
/** Spread among servers with equal load. */
const tieBreak = 0.05;

function cheapest(
  pool: readonly ServerCandidate[],
  {prefixTokens, promptTokens}: PlacementRequest,
  key: string,
  options: ServerChoiceOptions,
): ServerCandidate | undefined {
  const {tokensPerOpenRequest, queueWeight, tokensPerRank} = options;
  const isLong = promptTokens >= options.longPromptTokens;
  const forLong = serversForLong(pool, options.longShare);
  const ranked = pool
    .map(candidate => ({
      candidate,
      weight: rendezvousWeight(key, candidate.id),
    }))
    .sort((a, b) => b.weight - a.weight);
  const costs = new Map(
    ranked.map(({candidate}, rank) => {
      const queue =
        candidate.unreadTokens + candidate.openRequests * tokensPerOpenRequest;
      const isCached = rank === 0 || candidate.hasCachedPrefix;
      const reading = isCached ? 0 : prefixTokens;
      const isOther = forLong.has(candidate) !== isLong;
      const otherKind = isOther ? options.tokensPerOtherKind : 0;
      return [
        candidate,
        queue * queueWeight + reading + otherKind + rank * tokensPerRank,
      ] as const;
    }),
  );
  return minimumBy(pool, candidate => costs.get(candidate) ?? Infinity);
}

/** The servers for long prompts, the same at all routers; none of a few. */
function serversForLong(
  pool: readonly ServerCandidate[],
  share: number,
): ReadonlySet<ServerCandidate> {
  const count = Math.floor(pool.length * share);
  const ranked = pool
    .map(candidate => ({
      candidate,
      weight: rendezvousWeight('long', candidate.id),
    }))
    .sort((a, b) => b.weight - a.weight);
  return new Set(ranked.slice(0, count).map(({candidate}) => candidate));
}

function minimumBy<T>(
  items: readonly T[],
  costOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = costOf(item);
    if (best !== undefined && cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}
