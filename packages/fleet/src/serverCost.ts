/**
 * @fileoverview What a request would cost at a backend server: the time until its
 * first event, the tokens that would be read before it, or the load that it joins.
 *
 * Load pattern: the own open requests are known exactly, those of other routers
 * from a view that is up to a second old, and a server's trouble shows as silence
 * before it shows in its times.
 */
import {expectedWait} from './expectedWait.js';
import {
  minServerWeight,
  type RankedServer,
  serverWeight,
} from './serverRanking.js';
import {
  expectedMilliseconds,
  initialResponseModel,
  type ResponseModel,
} from './serverSpeeds.js';
import {type SpeedSpread} from './speedSpread.js';

/** A server that the attempt may be sent to. */
export interface ServerCandidate extends RankedServer {
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
  /** Open requests of other routers in the newest view; missing without one. */
  otherRequests?: number;
  /** Its times as a multiple of those of the service's model; missing for 1. */
  slowness?: number;
  /** Share of attempts that it refused as full; missing for 0. */
  refusalShare?: number;
  /** Time for which it has sent no byte though requests are open; or 0. */
  silentMilliseconds?: number;
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
  /** Speeds of the service's servers; missing for even ones. */
  spread?: SpeedSpread;
  /** Times of a server of average speed; missing if none were seen. */
  model?: ResponseModel;
  /** Mean time for which a request is open at a server; missing if unknown. */
  holdMilliseconds?: number;
  /** Reading time from which a prompt counts as long; missing for the default. */
  longPromptMilliseconds?: number;
}

/** Options of the costs. */
export interface ServerCostOptions {
  /**
   * Cost of one open request: the tokens that an engine reads in the time of one
   * decoding step of a batch.
   */
  tokensPerOpenRequest: number;
  /** Factor of the own queued work where the view of other routers isn't used. */
  queueWeight: number;
}

/** Default options of the costs. */
export const defaultServerCostOptions: ServerCostOptions = {
  tokensPerOpenRequest: 150,
  queueWeight: 1.5,
};

/** Time for which a request is open at a server until responses show it. */
const initialHoldMilliseconds = 500;

/** Additional load per slot of a server in another failure domain. */
const remoteDomainLoad = 0.1;

/** Largest random load per slot; spreads requests among equal servers. */
const tieBreakLoad = 0.05;

/** Slowness up to which a server's times differ from the mean by chance. */
const usualSlowness = 1.5;

/**
 * Returns the requests per slot and speed that a request would join at a server,
 * and the time in requests per slot for which the server has been overdue; more if
 * it is in another failure domain, and a little by chance.
 *
 * @param random Returns a number of at least 0 and less than 1.
 */
export function loadAt(
  candidate: ServerCandidate,
  request: PlacementRequest,
  random: () => number,
): number {
  const {slots, openRequests, otherRequests = 0} = candidate;
  const hold = request.holdMilliseconds ?? initialHoldMilliseconds;
  const places = Math.max(1, slots) * serverWeight(candidate);
  const overdue = overdueMilliseconds(
    candidate,
    expectedAt(candidate, request),
  );
  const isRemote = candidate.failureDomain !== request.failureDomain;
  return (
    (openRequests + otherRequests) / places +
    overdue / hold +
    (isRemote ? remoteDomainLoad : 0) +
    random() * tieBreakLoad
  );
}

/**
 * Returns the tokens that an even server has to read first, as far as this router
 * knows: its own open requests, times a factor for those of other routers.
 */
export function queuedTokensAt(
  {unreadTokens, openRequests}: ServerCandidate,
  {tokensPerOpenRequest, queueWeight}: ServerCostOptions,
): number {
  return (unreadTokens + openRequests * tokensPerOpenRequest) * queueWeight;
}

/** What the cost of a request at a server follows from. */
export interface ServerCostInput {
  request: PlacementRequest;
  model: ResponseModel;
  isCached: boolean;
  /** Factor of what the view of other routers' requests adds. */
  trust: number;
  options: ServerCostOptions;
}

/**
 * Returns the time in milliseconds until a server would send the first event. Of
 * the part that the view of other routers' requests adds, a random share counts:
 * it has changed since, and so the routers don't all turn at once.
 */
export function millisecondsAt(
  candidate: ServerCandidate,
  {request, model, isCached, trust, options}: ServerCostInput,
): number {
  const {slowness = 1, capacity = 1, openRequests, otherRequests} = candidate;
  const {slots, pace = 1, refusalShare = 0} = candidate;
  const perToken = model.millisecondsPerToken / capacity;
  const cachedTokens = isCached ? request.prefixTokens : 0;
  const reading = perToken * (request.promptTokens - cachedTokens);
  const isAlone = otherRequests === undefined;
  const requestCost = perToken * options.tokensPerOpenRequest;
  const queue =
    (perToken * candidate.unreadTokens + requestCost * openRequests) *
    (isAlone ? options.queueWeight : 1);
  const wait = expectedWait({
    openRequests: openRequests + (otherRequests ?? 0),
    slots: slots * Math.max(minServerWeight, pace),
    holdMilliseconds: request.holdMilliseconds ?? initialHoldMilliseconds,
  });
  const expected = expectedAt(candidate, request);
  // What its capacity doesn't tell yet.
  const excess = Math.max(0, slowness * capacity - usualSlowness);
  const stale = (isAlone ? 0 : wait) + (excess + refusalShare) * expected;
  const overdue = overdueMilliseconds(candidate, expected);
  return reading + queue + overdue + stale * trust;
}

/** Returns the time to the first event that the server should need. */
function expectedAt(
  {slowness = 1}: ServerCandidate,
  {model = initialResponseModel, promptTokens}: PlacementRequest,
): number {
  return slowness * expectedMilliseconds(model, promptTokens);
}

/** Returns for how long a server has been silent beyond the expected time. */
function overdueMilliseconds(
  {silentMilliseconds = 0}: ServerCandidate,
  expected: number,
): number {
  return Math.max(0, silentMilliseconds - expected);
}
