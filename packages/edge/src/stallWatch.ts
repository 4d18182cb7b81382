/**
 * @fileoverview Decides when a request that may be repeated leaves a server
 * that is silent. Progress is a whole event: a server that sends a byte now and
 * then makes none.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/** What is known of a request at a server. Times are in milliseconds. */
export interface StallCheckState {
  /** Since the last whole event, or since the request was sent. */
  silence: number;
  /** Since the server sent anything to this router. */
  serverSilence: number;
  hasFirstEvent: boolean;
  /** Time in which such a request should have its first event. */
  patience: number;
  /** Silence that a stream under way may have. */
  gapLimit: number;
  timeLeft: number;
}

/** Least time that a repeat elsewhere needs, as a part of the patience. */
const minRetryTimeShare = 0.5;

/**
 * Whether the request should go elsewhere. A server that answers others gets
 * twice the time.
 */
export function isStalled({
  silence,
  serverSilence,
  hasFirstEvent,
  patience,
  gapLimit,
  timeLeft,
}: StallCheckState): boolean {
  const limit = hasFirstEvent ? gapLimit : patience;
  if (timeLeft < limit * minRetryTimeShare) return false;
  const isServerSilent = serverSilence > limit / 2;
  return silence > (isServerSilent ? limit : 2 * limit);
}

/** Interval at which a run looks for silence of its server. */
const checkIntervalMilliseconds = 150;

/**
 * Looks at a request by and by until it stalls or is over.
 *
 * @param stateOf Undefined once the request is no longer at the server.
 * @param onStalled Called once.
 * @returns Ends the watch.
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
    if (isStalled(state)) onStalled(state);
    else cancel = clock.setTimer(checkIntervalMilliseconds, check);
  };
  cancel = clock.setTimer(checkIntervalMilliseconds, check);
  return () => cancel();
}
