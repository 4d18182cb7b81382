/**
 * @fileoverview Membership changes, one member at a time (single-server
 * changes, chapter 4 of the Raft dissertation).
 */
import {type Member} from '@dogwoodtrestle/schema';

import {MembershipChangeRejected} from './errors.js';
import {type Leadership} from './leadership.js';
import {type ReplicaState} from './replicaState.js';

/** Maximum number of entries that a learner may lag behind when promoted. */
const maxPromotionLag = 100;

/**
 * Adds a learner: a member that receives the log but has no vote. Does nothing
 * if it is a member already.
 */
export async function addLearner(
  state: ReplicaState,
  leadership: Leadership,
  member: Member,
): Promise<void> {
  const {members} = state.log;
  if (members.some(known => known.id === member.id)) return;
  await commitMembers(state, leadership, [
    ...members,
    {...member, role: 'learner'},
  ]);
}

/**
 * Promotes a learner that has caught up to voter. Rejects with
 * `MembershipChangeRejected` if it lags or had no contact within the election
 * timeout.
 */
export async function promote(
  state: ReplicaState,
  leadership: Leadership,
  id: string,
): Promise<void> {
  const {members, lastIndex} = state.log;
  const member = members.find(known => known.id === id);
  if (member === undefined) {
    throw new MembershipChangeRejected(`replica ${id} is not a member`);
  }
  if (member.role === 'voter') return;
  const replicator = leadership.replicators.get(id);
  const matchIndex = replicator?.matchIndex ?? 0;
  if (matchIndex === 0 || matchIndex < lastIndex - maxPromotionLag) {
    throw new MembershipChangeRejected(
      `replica ${id} has only ${matchIndex} of ${lastIndex} entries`,
    );
  }
  const {clock, electionTimeoutMilliseconds} = state.options;
  const lastContact = replicator?.lastContact ?? -Infinity;
  if (clock.now() - lastContact > electionTimeoutMilliseconds) {
    throw new MembershipChangeRejected(`replica ${id} has not answered lately`);
  }
  const promoted = members.map((known): Member =>
    known.id === id ? {...known, role: 'voter'} : known,
  );
  await commitMembers(state, leadership, promoted);
}

/**
 * Removes a member; a removed leader steps down once the change is committed.
 */
export async function removeMember(
  state: ReplicaState,
  leadership: Leadership,
  id: string,
): Promise<void> {
  const {members} = state.log;
  const remaining = members.filter(member => member.id !== id);
  if (remaining.length === members.length) return;
  if (!remaining.some(member => member.role === 'voter')) {
    throw new MembershipChangeRejected('the last voter cannot be removed');
  }
  await commitMembers(state, leadership, remaining);
}

/**
 * Commits a new membership. Concurrent changes could create two disjoint
 * majorities, and so could a change by a leader that has not committed an entry
 * in its own term; both are rejected with `MembershipChangeRejected`.
 */
async function commitMembers(
  state: ReplicaState,
  leadership: Leadership,
  members: Member[],
): Promise<void> {
  if (!leadership.hasCommitted) {
    throw new MembershipChangeRejected(
      'the leader has not committed an entry in its term yet',
    );
  }
  if (state.log.membershipIndex > state.commitIndex) {
    throw new MembershipChangeRejected(
      'an earlier membership change is not committed yet',
    );
  }
  await leadership.changeMembers(members);
}
