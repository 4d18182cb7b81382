/**
 * @fileoverview Lets a chosen voter stand for election without a timeout.
 */
import {type ReplicaState} from './replicaState.js';
import {type Replicator} from './replicator.js';

/** The other voter whose log is longest, and of these the last one heard of. */
export function longestLog(
  state: ReplicaState,
  replicators: ReadonlyMap<string, Replicator>,
): Replicator | undefined {
  return state.voters
    .map(voter => replicators.get(voter.id))
    .filter(replicator => replicator !== undefined)
    .sort((a, b) => b.matchIndex - a.matchIndex || b.contact - a.contact)[0];
}

/** Tells a voter to stand for election; nothing happens when it is lost. */
export function orderElection(state: ReplicaState, {member}: Replicator): void {
  const {id, term} = state;
  state.options.transport
    .send(member, {kind: 'elect', from: id, to: member.id, term})
    .catch(() => undefined);
}
