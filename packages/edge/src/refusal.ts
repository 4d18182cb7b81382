/**
 * @fileoverview Error responses of the router. Statuses which state that the
 * request was not executed are used only where no server can have executed it.
 */

import {type CrashSubjectKind, subjectKind} from '@dogwoodtrestle/fleet';

/** Why the router refuses a request or ends it with an error. */
export type RefusalReason =
  | 'noConfiguration'
  | 'viewOutdated'
  | 'malformed'
  | 'unknownRoute'
  | 'unknownKey'
  | 'versionUnsupported'
  | 'bodyTooLarge'
  | 'bodyLate'
  | 'memoryFull'
  | 'prepaidExhausted'
  | 'grantUnavailable'
  | 'routerBusy'
  | 'routerStopping'
  | 'noServer'
  | 'serversUnreached'
  | 'serversRefused'
  | 'serversBusy'
  | 'serversLimited'
  | 'serversEvacuated'
  | 'promptBlocked'
  | 'requestBlocked'
  | 'streamUnknown'
  | 'streamVersionGone'
  | 'outOfTime'
  | 'outcomeUnknown'
  | 'timedOut';

/** Error response to a caller. */
export interface Refusal {
  status: number;
  message: string;
  /** Time after which to retry; set only if the request was not executed. */
  retryAfterSeconds?: number;
  /** Whether to close the connection, so that the caller reaches another router. */
  endsConnection?: boolean;
}

/** Response for each reason. Comments explain each retry time. */
export const refusals: Readonly<Record<RefusalReason, Refusal>> = {
  noConfiguration: {
    status: 503,
    message: 'The router has no configuration yet.',
    // After an outage of all instances, routers load it within a second.
    retryAfterSeconds: 1,
  },
  viewOutdated: {
    status: 503,
    message: 'The router is not up to date now; the request has not run.',
    // An immediate reply of a leader, and its repetition.
    retryAfterSeconds: 0.4,
  },
  malformed: {status: 400, message: 'The request lacks its attempt id.'},
  unknownRoute: {status: 404, message: 'No route matches the request.'},
  unknownKey: {status: 401, message: 'The key is missing or unknown.'},
  versionUnsupported: {
    status: 505,
    message: 'A stream needs HTTP/1.1; the request has not run.',
  },
  bodyTooLarge: {status: 413, message: 'The body is too large.'},
  bodyLate: {
    status: 408,
    message: 'The body did not arrive in time; the request has not run.',
    endsConnection: true,
  },
  memoryFull: {
    status: 503,
    message: 'This router has no memory for the body; the request has not run.',
    // One round trip: the retry is likely to reach another router.
    retryAfterSeconds: 0.1,
    endsConnection: true,
  },
  prepaidExhausted: {
    status: 402,
    message: 'The prepaid total does not cover the request at its most.',
  },
  grantUnavailable: {
    status: 503,
    message: 'This router can not cover the request now; it has not run.',
    // Two report intervals: tokens are freed when routers report usage.
    retryAfterSeconds: 0.8,
  },
  routerBusy: {
    status: 503,
    message: 'This router has too much to do; the request has not run.',
    // One round trip: the retry is likely to reach another router.
    retryAfterSeconds: 0.1,
    endsConnection: true,
  },
  routerStopping: {
    status: 503,
    message: 'This router stops before the request can end; it has not run.',
    // One round trip: it accepts no new connections.
    retryAfterSeconds: 0.1,
    endsConnection: true,
  },
  noServer: {
    status: 503,
    message: 'No server can take the request now; it has not run.',
    retryAfterSeconds: 0.5,
  },
  serversUnreached: {
    status: 503,
    message:
      'This router reaches no server of the service now; the request has not run.',
    // One round trip: the retry is likely to reach another router.
    retryAfterSeconds: 0.1,
    endsConnection: true,
  },
  serversRefused: {
    status: 503,
    message: 'The servers are full; the request has not run.',
    retryAfterSeconds: 0.4,
  },
  serversBusy: {
    status: 503,
    message: 'The servers want nothing now; the request has not run.',
    // Replaced by the time until the first server accepts requests again.
    retryAfterSeconds: 0.5,
  },
  serversLimited: {
    status: 503,
    message: 'The servers take fewer requests now; the request has not run.',
    // Replaced by the time until the first server may take a request.
    retryAfterSeconds: 0.5,
  },
  serversEvacuated: {
    status: 503,
    message:
      'The servers are in failure domains that are evacuated; the request has not run.',
    // Routers learn of the end of an evacuation within a long poll.
    retryAfterSeconds: 1,
  },
  promptBlocked: {
    status: 503,
    message:
      'A part of the prompt has crashed servers; the request has not run.',
    // No sooner than a server may be tried with it again.
    retryAfterSeconds: 120,
  },
  requestBlocked: {
    status: 503,
    message: 'This request has crashed servers before; it has not run.',
    // No sooner than a server may be tried with it again.
    retryAfterSeconds: 120,
  },
  streamUnknown: {
    status: 503,
    message:
      'It is not known which software version began the stream; the request has not run.',
    // The router that began it may not have told the leader yet.
    retryAfterSeconds: 0.5,
  },
  streamVersionGone: {
    status: 503,
    message:
      'No server of the software version that began the stream is left; the request has not run.',
    // Servers of a version that was replaced seldom come back.
    retryAfterSeconds: 30,
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

/** Reason for which a request with a blocked subject is refused. */
const blockedReasons: Readonly<Record<CrashSubjectKind, RefusalReason>> = {
  part: 'promptBlocked',
  request: 'requestBlocked',
};

/** Returns the reason for which a request with a blocked subject is refused. */
export function blockedReason(subject: string): RefusalReason {
  return blockedReasons[subjectKind(subject)];
}

/** Maximum jitter, which spreads the retries of callers refused together. */
const maxRetryJitterMilliseconds = 300;

/** Returns the reason's retry time with jitter, in seconds. */
export function retryAfterFor(
  reason: RefusalReason,
  random: () => number,
): number {
  const {retryAfterSeconds = 0} = refusals[reason];
  return retryAfterSeconds + (random() * maxRetryJitterMilliseconds) / 1_000;
}

/** Least time after which a request that found no room is repeated. */
const minRoomMilliseconds = 200;

/**
 * Returns the retry time of a request that found no room, in seconds.
 *
 * @param milliseconds Time until room is expected.
 */
export function retryAfterWait(
  milliseconds: number,
  random: () => number,
): number {
  const jitter = random() * maxRetryJitterMilliseconds;
  return (Math.max(minRoomMilliseconds, milliseconds) + jitter) / 1_000;
}

/** A refusal reason and, where it differs from the default, its retry time. */
export interface TimedRefusal {
  reason: RefusalReason;
  retryAfterSeconds?: number;
}

/** When the first server may accept a request; see `Availability`. */
export interface RetryTime {
  milliseconds: number;
  isLimited: boolean;
}

/**
 * Returns the refusal of a request that no server accepts.
 *
 * @param first When the first server may accept a request; undefined if none
 *     will.
 */
export function serversRefusal(
  reason: RefusalReason,
  first: RetryTime | undefined,
  random: () => number,
): TimedRefusal {
  if (first === undefined) return {reason};
  const {milliseconds, isLimited} = first;
  const jitter = random() * maxRetryJitterMilliseconds;
  const retryAfterSeconds = (milliseconds + jitter) / 1_000;
  if (isLimited) return {reason: 'serversLimited', retryAfterSeconds};
  if (milliseconds > 0) return {reason: 'serversBusy', retryAfterSeconds};
  // Another server is available, but the route allows no further attempt.
  if (reason === 'serversRefused') return {reason, retryAfterSeconds};
  return {reason};
}
