/**
 * @fileoverview Makes a voter start an election at once, without waiting for
 * its election timeout (TimeoutNow, section 3.10 of the Raft dissertation).
 */
import {type ReplicaState} from './replicaState.js';
import {type Replicator} from './replicator.js';

/**
 * Returns the other voter with the highest match index; among equals, the one
 * with the most recent contact.
 */
export function mostUpToDateVoter(
  state: ReplicaState,
  replicators: ReadonlyMap<string, Replicator>,
): Replicator | undefined {
  return state.voters
    .map(voter => replicators.get(voter.id))
    .filter(replicator => replicator !== undefined)
    .sort(
      (a, b) => b.matchIndex - a.matchIndex || b.lastContact - a.lastContact,
    )[0];
}

/**
 * Sends a voter the order to start an election; a lost order is not repeated.
 */
export function sendElectionOrder(
  state: ReplicaState,
  {member}: Replicator,
): void {
  const {id, term} = state;
  state.options.transport
    .send(member, {kind: 'elect', from: id, to: member.id, term})
    .catch(() => undefined);
}
