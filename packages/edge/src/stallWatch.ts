/**
 * @fileoverview Detects that a retryable request has stalled at a server. Only
 * a complete event counts as progress of a stream, single bytes do not.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

import {type AttemptProgress} from './attemptProgress.js';

/** State of a request at a server. Times are in milliseconds. */
export interface StallCheckState {
  /**
   * Time since the last complete event, or since the request was sent; 0 while the
   * caller does not read, as its router does not read then either.
   */
  silence: number;
  /** Time since the server sent any byte to this router. */
  serverSilence: number;
  hasFirstEvent: boolean;
  /** Timeout for the first event. */
  patience: number;
  /** Timeout between events of a stream. */
  gapLimit: number;
  /** Time until the request's deadline. */
  timeLeft: number;
}

/** Time limits of a request at a server, in milliseconds. */
export interface StallLimits extends Pick<
  StallCheckState,
  'patience' | 'gapLimit'
> {
  /** Monotonic time of the request's deadline. */
  deadline: number;
}

/** Returns the state of an attempt at a time. */
export function stallStateOf(
  {progressAt, readAt, hasFirstEvent, attempt, server}: AttemptProgress,
  {patience, gapLimit, deadline}: StallLimits,
  now: number,
): StallCheckState {
  return {
    silence:
      attempt?.isPaused === true ? 0 : now - Math.max(progressAt, readAt),
    serverSilence: now - server.lastByteAt,
    hasFirstEvent,
    patience,
    gapLimit,
    timeLeft: deadline - now,
  };
}

/** Factor of the timeout after which servers that are not heard are asked too. */
const unheardFactor = 1.5;

/** Timeout that applies to a request: to its first event, or between events. */
function timeoutOf({
  hasFirstEvent,
  patience,
  gapLimit,
}: StallCheckState): number {
  return hasFirstEvent ? gapLimit : patience;
}

/**
 * Returns the time within which another server must have sent a byte to be asked
 * beside a stalled one: one that is not heard may be as silent, and go on at the
 * same moment, so that both run the request. After a longer silence it is asked
 * all the same.
 */
export function heardWithin(state: StallCheckState): number {
  const timeout = timeoutOf(state);
  const isLong = state.silence > unheardFactor * timeout;
  return isLong ? Infinity : timeout / 2;
}

/** Time that a retry needs, as a share of the timeout. */
const minRetryTimeShare = 0.5;

/**
 * Whether the request should be retried on another server. The timeout doubles
 * if the server has recently sent data for other requests.
 */
export function isStalled(state: StallCheckState): boolean {
  const {silence, serverSilence, timeLeft} = state;
  const limit = timeoutOf(state);
  if (timeLeft < limit * minRetryTimeShare) return false;
  const isServerSilent = serverSilence > limit / 2;
  return silence > (isServerSilent ? limit : 2 * limit);
}

/** Interval at which a request is checked for a stall. */
const checkMilliseconds = 150;

/** The same for a request that has stalled. */
const stalledCheckMilliseconds = 300;

/**
 * Checks a request periodically until it has left the server.
 *
 * @param stateOf Returns undefined once the request has left the server.
 * @param onStalled Called at each check at which the request has stalled.
 * @returns A function that stops the checks.
 */
export function watchForStall(
  clock: Clock,
  stateOf: () => StallCheckState | undefined,
  onStalled: (state: StallCheckState) => void,
): () => void {
  let cancel = () => {};
  const check = () => {
    const state = stateOf();
    if (state === undefined) return;
    const hasStalled = isStalled(state);
    const interval = hasStalled ? stalledCheckMilliseconds : checkMilliseconds;
    cancel = clock.setTimer(interval, check);
    if (hasStalled) onStalled(state);
  };
  cancel = clock.setTimer(checkMilliseconds, check);
  return () => cancel();
}
