/**
 * @fileoverview Chooses the backend server of an attempt, by costs in
 * milliseconds until the first event.
 *
 * Load pattern: prompts share prefixes, servers differ in speed, and many routers
 * choose by the same view of the servers' load, which is a second old.
 *
 * Prompts with a shared prefix go to the server that rendezvous hashing ranks
 * first for that prefix, so all routers agree without communication and the
 * prefix is read once. If the work queued at that server would take longer than
 * reading the prefix again, the next server by rank gets the request. Where the
 * servers are uneven, faster ones own more prefixes, and the time that each would
 * take is compared. Other requests go to the less loaded of two servers that
 * are drawn by speed: the least loaded one of a stale view would draw a herd.
 *
 * A server that limits its requests gets the next one if its share would be lost
 * otherwise, since few routers may send to it and each of them seldom would.
 *
 * Long prompts delay all prompts that are read after them, so they go to a few
 * servers reserved for them, which other requests avoid.
 */
import {
  defaultServerCostOptions,
  loadAt,
  millisecondsAt,
  type PlacementRequest,
  queuedTokensAt,
  type ServerCandidate,
  type ServerCostOptions,
} from './serverCost.js';
import {
  defaultServerRankingOptions,
  drawTwo,
  longPromptServers,
  longPromptTest,
  rankServers,
  type ServerRankingOptions,
} from './serverRanking.js';
import {expectedMilliseconds, initialResponseModel} from './serverSpeeds.js';
import {type SpeedSpread} from './speedSpread.js';

/** Options of the choice. */
export interface ServerChoiceOptions
  extends ServerCostOptions, ServerRankingOptions {
  /** Additional cost of each lower rank. */
  tokensPerRank: number;
  /** Prompt tokens from which a prompt counts as long at even servers. */
  longPromptTokens: number;
  /** Additional cost of an even server that is reserved for the other kind. */
  tokensPerOtherKind: number;
  /** Reading time from which a prompt counts as long. */
  longPromptMilliseconds: number;
}

/** Default options. */
export const defaultServerChoiceOptions: ServerChoiceOptions = {
  ...defaultServerCostOptions,
  ...defaultServerRankingOptions,
  tokensPerRank: 200,
  // Two to three times a typical prompt of the users' longest kind of request.
  longPromptTokens: 18_000,
  tokensPerOtherKind: 9_000,
  longPromptMilliseconds: 225,
};

/** Part of the long prompts' reading time that a server of another kind costs. */
const otherKindShare = 0.5;

/** Why a server was chosen. */
export interface Placement {
  server: ServerCandidate;
  /** Rank for the prefix, among uneven servers of the same kind; or 0. */
  rank: number;
  /** Number of servers that were compared. */
  compared: number;
  /**
   * Expected time to the first event in milliseconds; without a shared prefix
   * the requests per slot.
   */
  cost: number;
}

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
  return placeRequest(candidates, request, random, options)?.server;
}

/** Does the same, and returns what decided. */
export function placeRequest(
  candidates: readonly ServerCandidate[],
  request: PlacementRequest,
  random: () => number,
  options: Partial<ServerChoiceOptions> = {},
): Placement | undefined {
  const settings = {...defaultServerChoiceOptions, ...options};
  const trusted = candidates.filter(({isSuspect}) => !isSuspect);
  const due = trusted.filter(({isDue}) => isDue);
  const preferred = due.length > 0 ? due : trusted;
  const pool = preferred.length > 0 ? preferred : candidates;
  const {affinityKey, spread = 'even'} = request;
  return affinityKey === undefined
    ? leastLoaded(pool, request, random)
    : prefixPlacements[spread](pool, request, affinityKey, random, settings);
}

/** How a server is chosen for a prompt with a shared prefix. */
type PrefixPlacement = (
  pool: readonly ServerCandidate[],
  request: PlacementRequest,
  key: string,
  random: () => number,
  options: ServerChoiceOptions,
) => Placement | undefined;

const prefixPlacements: Record<SpeedSpread, PrefixPlacement> = {
  even: fewestTokens,
  uneven: leastTime,
};

/**
 * Returns the server with the fewest open requests per slot and speed, with a
 * preference for the own failure domain.
 */
function leastLoaded(
  pool: readonly ServerCandidate[],
  request: PlacementRequest,
  random: () => number,
): Placement | undefined {
  const isViewKnown = pool.some(
    ({otherRequests}) => otherRequests !== undefined,
  );
  const compared = isViewKnown ? drawTwo(pool, random) : pool;
  let best: Placement | undefined;
  for (const server of compared) {
    const cost = loadAt(server, request, random);
    if (best !== undefined && cost >= best.cost) continue;
    best = {server, rank: 0, compared: compared.length, cost};
  }
  return best;
}

/**
 * Returns the even server at which the fewest tokens would be read or waited for.
 * Neither the view of other routers' requests nor small differences of speed move
 * a prefix: each move has it read once more.
 */
function fewestTokens(
  pool: readonly ServerCandidate[],
  request: PlacementRequest,
  key: string,
  _: () => number,
  options: ServerChoiceOptions,
): Placement | undefined {
  const {prefixTokens, promptTokens, model = initialResponseModel} = request;
  const isLong = promptTokens >= options.longPromptTokens;
  // Of those that can be used now: a few servers have no others to spare.
  const longServers = longPromptServers(pool, options.longShare);
  let server: ServerCandidate | undefined;
  let rank = 0;
  let leastTokens = Infinity;
  for (const [position, candidate] of rankServers(pool, key).entries()) {
    const isCached = position === 0 || candidate.hasCachedPrefix;
    const isOtherKind = longServers.has(candidate.id) !== isLong;
    const tokens =
      queuedTokensAt(candidate, options) +
      (isCached ? 0 : prefixTokens) +
      (isOtherKind ? options.tokensPerOtherKind : 0) +
      position * options.tokensPerRank;
    if (tokens >= leastTokens) continue;
    server = candidate;
    rank = position;
    leastTokens = tokens;
  }
  if (server === undefined) return undefined;
  const cost = expectedMilliseconds(model, leastTokens);
  return {server, rank, compared: pool.length, cost};
}

/** Returns the uneven server that would send the first event first. */
function leastTime(
  pool: readonly ServerCandidate[],
  request: PlacementRequest,
  key: string,
  random: () => number,
  options: ServerChoiceOptions,
): Placement | undefined {
  const {model = initialResponseModel, promptTokens} = request;
  const {millisecondsPerToken} = model;
  const {longPromptMilliseconds = options.longPromptMilliseconds} = request;
  const isLong = promptTokens * millisecondsPerToken >= longPromptMilliseconds;
  const isForLong = longPromptTest(pool, options);
  const otherKindCost = longPromptMilliseconds * otherKindShare;
  const rankCost = options.tokensPerRank * millisecondsPerToken;
  /** Servers so far of the kind that the prompt should go to, and others. */
  let ownKind = 0;
  let otherKind = 0;
  const trust = 2 * random();
  let best: Placement | undefined;
  for (const candidate of rankServers(pool, key)) {
    const isOwnKind = isForLong(candidate) === isLong;
    const rank = isOwnKind ? ownKind++ : otherKind++;
    const isCached = rank === 0 || candidate.hasCachedPrefix;
    const cost =
      millisecondsAt(candidate, {request, model, isCached, trust, options}) +
      (isOwnKind ? 0 : otherKindCost) +
      rank * rankCost;
    if (best !== undefined && cost >= best.cost) continue;
    best = {server: candidate, rank, compared: pool.length, cost};
  }
  return best;
}
