/**
 * @fileoverview Chooses the backend server of an attempt.
 *
 * Prompts with a shared prefix go to the server that rendezvous hashing ranks
 * first for that prefix, so all routers agree without communication and the
 * prefix is read once. If the work queued at that server would take longer than
 * reading the prefix again, the next server by rank gets the request.
 *
 * A server that limits its requests gets the next one if its share would be lost
 * otherwise, since few routers may send to it and each of them seldom would.
 *
 * Long prompts delay all prompts that are read after them, so they go to a few
 * servers reserved for them, which other requests avoid.
 */
import {rendezvousWeight} from './rendezvous.js';

/** A server that the attempt may be sent to. */
export interface ServerCandidate {
  id: string;
  failureDomain?: string;
  /** Open requests of this router at the server. */
  openRequests: number;
  /** Prompt tokens of these requests that had no first event yet. */
  unreadTokens: number;
  /** Requests that the server runs at once. */
  slots: number;
  /** Recently failed or silent; used only if all candidates are suspect. */
  isSuspect: boolean;
  /** Whether this router recently sent the shared prefix to the server. */
  hasCachedPrefix: boolean;
  /**
   * The server limits its requests, and one that it would take now is about to
   * be lost.
   */
  isDue: boolean;
}

/** The request that a server is chosen for. */
export interface PlacementRequest {
  /** Identifies the prefix shared with other requests, if there is one. */
  affinityKey?: string;
  /** Tokens of the shared prefix. */
  prefixTokens: number;
  /** Tokens of the whole prompt. */
  promptTokens: number;
  /** Failure domain of this router. */
  failureDomain: string;
}

/** Options of the choice; costs are in prompt tokens to be read. */
export interface ServerChoiceOptions {
  /**
   * Cost of one open request: the tokens that an engine reads in the time of one
   * decoding step of a batch.
   */
  tokensPerOpenRequest: number;
  /** Factor of the own queued work, since other routers queue work as well. */
  queueWeight: number;
  /** Additional cost of each lower rank. */
  tokensPerRank: number;
  /** Prompt tokens from which a request counts as long. */
  longPromptTokens: number;
  /** Part of the servers that is reserved for long prompts. */
  longShare: number;
  /** Additional cost of a long prompt elsewhere, or a short one at these. */
  tokensPerOtherKind: number;
}

/** Default options. */
export const defaultServerChoiceOptions: ServerChoiceOptions = {
  tokensPerOpenRequest: 150,
  queueWeight: 1.5,
  tokensPerRank: 200,
  // Two to three times a typical prompt of the users' longest kind of request.
  longPromptTokens: 18_000,
  longShare: 0.25,
  tokensPerOtherKind: 9_000,
};

/**
 * Returns the best server, or undefined if there are no candidates.
 *
 * @param random Returns a number of at least 0 and less than 1.
 */
export function chooseServer(
  candidates: readonly ServerCandidate[],
  request: PlacementRequest,
  random: () => number,
  options: Partial<ServerChoiceOptions> = {},
): ServerCandidate | undefined {
  const settings = {...defaultServerChoiceOptions, ...options};
  const trusted = candidates.filter(({isSuspect}) => !isSuspect);
  const due = trusted.filter(({isDue}) => isDue);
  const preferred = due.length > 0 ? due : trusted;
  const pool = preferred.length > 0 ? preferred : candidates;
  return request.affinityKey === undefined
    ? leastLoaded(pool, request, random)
    : cheapest(pool, request, request.affinityKey, settings);
}

/**
 * Returns the server with the fewest open requests per slot, with a preference
 * for the own failure domain.
 */
function leastLoaded(
  pool: readonly ServerCandidate[],
  {failureDomain}: PlacementRequest,
  random: () => number,
): ServerCandidate | undefined {
  const costOf = (candidate: ServerCandidate) =>
    candidate.openRequests / Math.max(1, candidate.slots) +
    (candidate.failureDomain === failureDomain ? 0 : remoteDomainLoad) +
    random() * tieBreakLoad;
  return minimumBy(pool, costOf);
}

/** Additional load per slot of a server in another failure domain. */
const remoteDomainLoad = 0.1;
/** Largest random load per slot; spreads requests among equal servers. */
const tieBreakLoad = 0.05;

function cheapest(
  pool: readonly ServerCandidate[],
  {prefixTokens, promptTokens}: PlacementRequest,
  key: string,
  options: ServerChoiceOptions,
): ServerCandidate | undefined {
  const {tokensPerOpenRequest, queueWeight, tokensPerRank} = options;
  const isLong = promptTokens >= options.longPromptTokens;
  const longPromptServers = serversForLongPrompts(pool, options.longShare);
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
      const prefixCost = isCached ? 0 : prefixTokens;
      const isOtherKind = longPromptServers.has(candidate) !== isLong;
      const otherKindCost = isOtherKind ? options.tokensPerOtherKind : 0;
      return [
        candidate,
        queue * queueWeight + prefixCost + otherKindCost + rank * tokensPerRank,
      ] as const;
    }),
  );
  return minimumBy(pool, candidate => costs.get(candidate) ?? Infinity);
}

/** Servers for long prompts, the same at all routers; none if there are few. */
function serversForLongPrompts(
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
