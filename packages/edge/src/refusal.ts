/**
 * @fileoverview The router's own final answers. A status that promises "not
 * run" is only made for requests that no server can have run.
 */

/** Why the router answers by itself. */
export type RefusalReason =
  | 'noConfiguration'
  | 'malformed'
  | 'unknownRoute'
  | 'unknownKey'
  | 'bodyTooLarge'
  | 'prepaidExhausted'
  | 'grantUnavailable'
  | 'routerBusy'
  | 'noServer'
  | 'serversRefused'
  | 'serversBusy'
  | 'outOfTime'
  | 'outcomeUnknown'
  | 'timedOut';

/** What the caller gets. */
export interface Refusal {
  status: number;
  message: string;
  /** When to come back; the request has not run. */
  retryAfterSeconds?: number;
}

/** The answer for each reason. Times suit the cause: see each line. */
export const refusals: Readonly<Record<RefusalReason, Refusal>> = {
  noConfiguration: {
    status: 503,
    message: 'The router has no configuration yet.',
    // After a loss of all power routers know it again within a second.
    retryAfterSeconds: 1,
  },
  malformed: {status: 400, message: 'The request lacks its attempt id.'},
  unknownRoute: {status: 404, message: 'No route matches the request.'},
  unknownKey: {status: 401, message: 'The key is missing or unknown.'},
  bodyTooLarge: {status: 413, message: 'The body is too large.'},
  prepaidExhausted: {
    status: 402,
    message: 'The prepaid total does not cover the request at its most.',
  },
  grantUnavailable: {
    status: 503,
    message: 'This router can not cover the request now; it has not run.',
    // Tokens come free as requests end and routers report: two reports.
    retryAfterSeconds: 0.8,
  },
  routerBusy: {
    status: 503,
    message: 'This router has too much to do; the request has not run.',
    // A caller that comes back reaches another router: one round trip.
    retryAfterSeconds: 0.1,
  },
  noServer: {
    status: 503,
    message: 'No server can take the request now; it has not run.',
    retryAfterSeconds: 0.5,
  },
  serversRefused: {
    status: 503,
    message: 'The servers are full; the request has not run.',
    retryAfterSeconds: 0.4,
  },
  serversBusy: {
    status: 503,
    message: 'The servers want nothing now; the request has not run.',
    // Replaced by the time until the first of them may take work again.
    retryAfterSeconds: 0.5,
  },
  outOfTime: {
    status: 503,
    message: 'No time is left for the request; it has not run.',
  },
  outcomeUnknown: {
    status: 502,
    message: 'The server did not answer; the request may have run.',
  },
  timedOut: {
    status: 504,
    message: 'The request took too long; it may have run.',
  },
};

/** Time over which callers come back that were refused together. */
const maxRetryJitterMilliseconds = 300;

/** Seconds after which a caller comes back that others are refused beside. */
export function retryAfterFor(
  reason: RefusalReason,
  random: () => number,
): number {
  const {retryAfterSeconds = 0} = refusals[reason];
  return retryAfterSeconds + (random() * maxRetryJitterMilliseconds) / 1_000;
}

/** A reason, and when to come back where the reason's own time doesn't fit. */
export interface TimedRefusal {
  reason: RefusalReason;
  retryAfterSeconds?: number;
}

/**
 * What a request gets that no server takes.
 *
 * @param waitMilliseconds Time until the first server may take work: 0 where
 *     one may now, undefined where none will.
 */
export function serversRefusal(
  reason: RefusalReason,
  waitMilliseconds: number | undefined,
  random: () => number,
): TimedRefusal {
  if (waitMilliseconds === undefined) return {reason};
  // Callers that were refused together come back one after another.
  const jitter = random() * maxRetryJitterMilliseconds;
  const retryAfterSeconds = (waitMilliseconds + jitter) / 1_000;
  if (waitMilliseconds > 0) return {reason: 'serversBusy', retryAfterSeconds};
  // Another server is free, and the route allows no further attempt.
  if (reason === 'serversRefused') return {reason, retryAfterSeconds};
  return {reason};
}
