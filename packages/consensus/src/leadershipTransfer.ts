/**
 * @fileoverview Hands leadership to another voter before a planned stop.
 */
import {longestLog, orderElection} from './electionOrder.js';
import {TransferFailed} from './errors.js';
import {type Leadership} from './leadership.js';
import {type Replicator} from './replicator.js';
import {type ReplicaState} from './replicaState.js';

/** Time between two looks at the successor's position. */
const pollMilliseconds = 5;

/**
 * Takes no more proposals, waits until the voter with the longest log has all
 * entries, and orders it to stand for election.
 *
 * @returns Resolves once this replica no longer leads.
 */
export async function transferLeadership(
  state: ReplicaState,
  leadership: Leadership,
): Promise<void> {
  const {clock, electionTimeoutMilliseconds} = state.options;
  const deadline = clock.now() + electionTimeoutMilliseconds;
  leadership.isHandingOver = true;
  let ordered: Replicator | undefined;
  while (!leadership.isEnded && clock.now() < deadline) {
    const successor = longestLog(state, leadership.replicators);
    if (successor !== ordered && isCaughtUp(state, successor)) {
      ordered = successor;
      orderElection(state, successor);
    }
    await pause(state);
  }
  leadership.isHandingOver = false;
  if (leadership.isEnded) return;
  throw new TransferFailed('no voter took over in time');
}

function pause({options}: ReplicaState): Promise<void> {
  return new Promise(resolve => {
    options.clock.setTimer(pollMilliseconds, resolve);
  });
}

function isCaughtUp(
  state: ReplicaState,
  replicator: Replicator | undefined,
): replicator is Replicator {
  return replicator?.matchIndex === state.log.lastIndex;
}
