/**
 * @fileoverview Membership changes, one member at a time.
 */
import {type Member} from '@dogwoodtrestle/schema';

import {MembershipChangeRejected} from './errors.js';
import {type Leadership} from './leadership.js';
import {type ReplicaState} from './replicaState.js';

/** Entries that a learner may lag behind when it is promoted. */
const maxPromotionLag = 100;

/** Adds a member that gets the log but has no vote; it may be one already. */
export async function addLearner(
  state: ReplicaState,
  leadership: Leadership,
  member: Member,
): Promise<void> {
  const {members} = state.log;
  if (members.some(known => known.id === member.id)) return;
  await change(state, leadership, [...members, {...member, role: 'learner'}]);
}

/** Makes a voter of a learner that has nearly all entries. */
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
      `replica ${id} has ${matchIndex} of ${lastIndex} entries`,
    );
  }
  const {clock, electionTimeoutMilliseconds} = state.options;
  const contact = replicator?.contact ?? -Infinity;
  if (clock.now() - contact > electionTimeoutMilliseconds) {
    throw new MembershipChangeRejected(`replica ${id} has not answered lately`);
  }
  const promoted = members.map((known): Member =>
    known.id === id ? {...known, role: 'voter'} : known,
  );
  await change(state, leadership, promoted);
}

/** Removes a member; a removed leader steps down once it is committed. */
export async function removeMember(
  state: ReplicaState,
  leadership: Leadership,
  id: string,
): Promise<void> {
  const {members} = state.log;
  const rest = members.filter(member => member.id !== id);
  if (rest.length === members.length) return;
  if (!rest.some(member => member.role === 'voter')) {
    throw new MembershipChangeRejected('the last voter can not be removed');
  }
  await change(state, leadership, rest);
}

/**
 * Two changes at once could make two disjoint majorities, as could one whose
 * leader hasn't committed in its own term.
 */
async function change(
  state: ReplicaState,
  leadership: Leadership,
  members: Member[],
): Promise<void> {
  if (!leadership.hasCommitted) {
    throw new MembershipChangeRejected(
      'the leader has not committed in its term yet',
    );
  }
  if (state.log.membershipIndex > state.commitIndex) {
    throw new MembershipChangeRejected(
      'an earlier change is not committed yet',
    );
  }
  await leadership.changeMembers(members);
}
