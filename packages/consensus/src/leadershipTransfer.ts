/**
 * @fileoverview Leadership transfer before a planned stop (section 3.10 of the
 * Raft dissertation).
 */
import {mostUpToDateVoter, sendElectionOrder} from './electionOrder.js';
import {TransferFailed} from './errors.js';
import {type Leadership} from './leadership.js';
import {type Replicator} from './replicator.js';
import {type ReplicaState} from './replicaState.js';

/** Time between two checks of the successor's match index. */
const pollIntervalMilliseconds = 5;

/**
 * Rejects further proposals, waits until the most up-to-date voter has all
 * entries, and makes it start an election.
 *
 * @returns Resolves once this replica no longer leads; rejects with
 *     `TransferFailed` after the election timeout.
 */
export async function transferLeadership(
  state: ReplicaState,
  leadership: Leadership,
): Promise<void> {
  const {clock, electionTimeoutMilliseconds} = state.options;
  const deadline = clock.now() + electionTimeoutMilliseconds;
  leadership.isTransferring = true;
  let requested: Replicator | undefined;
  while (!leadership.isEnded && clock.now() < deadline) {
    const successor = mostUpToDateVoter(state, leadership.replicators);
    if (successor !== requested && isCaughtUp(state, successor)) {
      requested = successor;
      sendElectionOrder(state, successor);
    }
    await waitForNextPoll(state);
  }
  leadership.isTransferring = false;
  if (leadership.isEnded) return;
  throw new TransferFailed(
    'no other voter became the leader within the election timeout',
  );
}

function waitForNextPoll({options}: ReplicaState): Promise<void> {
  return new Promise(resolve => {
    options.clock.setTimer(pollIntervalMilliseconds, resolve);
  });
}

function isCaughtUp(
  state: ReplicaState,
  replicator: Replicator | undefined,
): replicator is Replicator {
  return replicator?.matchIndex === state.log.lastIndex;
}
