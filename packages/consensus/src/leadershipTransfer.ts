/**
 * @fileoverview Hands leadership to another voter before a planned stop.
 */
import {TransferFailed} from './errors.js';
import {type Leadership} from './leadership.js';
import {type Replicator} from './replicator.js';
import {type ReplicaState} from './replicaState.js';

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
    const successor = longestLog(state, leadership);
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

const pollMilliseconds = 5;

function pause({options}: ReplicaState): Promise<void> {
  return new Promise(resolve => {
    options.clock.setTimer(pollMilliseconds, resolve);
  });
}

function longestLog(
  state: ReplicaState,
  leadership: Leadership,
): Replicator | undefined {
  return state.voters
    .map(voter => leadership.replicators.get(voter.id))
    .filter(replicator => replicator !== undefined)
    .sort((a, b) => b.matchIndex - a.matchIndex || b.contact - a.contact)[0];
}

function isCaughtUp(
  state: ReplicaState,
  replicator: Replicator | undefined,
): replicator is Replicator {
  return replicator?.matchIndex === state.log.lastIndex;
}

function orderElection(state: ReplicaState, {member}: Replicator): void {
  const {id, term} = state;
  state.options.transport
    .send(member, {kind: 'elect', from: id, to: member.id, term})
    .catch(() => undefined); // the deadline covers it
}
