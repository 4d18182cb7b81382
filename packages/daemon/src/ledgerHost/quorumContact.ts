/**
 * @fileoverview Tells how long ago a replica last heard from the quorum.
 */
import {type ReplicaStatus} from '@dogwoodtrestle/consensus';
import {
  type ConsensusMessage,
  type ConsensusReply,
} from '@dogwoodtrestle/schema';

import {type Clock} from '@dogwoodtrestle/runtime';

/** Age that stands for "never", since JSON has no infinity. */
export const neverContactedMilliseconds = 1_000_000_000;

/** Follows a replica's contact with the quorum. */
export class QuorumContact {
  private contactAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * Takes in a message of a leader that this replica has answered. It counts
   * only once all that the leader had committed by then is applied here.
   */
  recordMessage(
    message: ConsensusMessage,
    reply: ConsensusReply,
    lastApplied: number,
  ): void {
    if (message.kind !== 'append' || reply.kind !== 'append') return;
    if (reply.success && lastApplied >= message.commitIndex) {
      this.contactAt = this.clock.now();
    }
  }

  /** Time since the last contact with the quorum, in milliseconds. */
  ageMilliseconds(status: ReplicaStatus): number {
    const age =
      status.role === 'leader'
        ? leaderAge(status)
        : this.clock.now() - this.contactAt;
    return Math.round(Math.min(age, neverContactedMilliseconds));
  }
}

/** Age of the newest contact that a majority of the voters has had. */
function leaderAge({id, members, peers}: ReplicaStatus): number {
  const voters = members.filter(({role}) => role === 'voter');
  const contacts = new Map(peers.map(peer => [peer.id, peer.lastContactMs]));
  const ages = voters
    .map(voter => (voter.id === id ? 0 : (contacts.get(voter.id) ?? Infinity)))
    .sort((left, right) => left - right);
  return ages[Math.floor(voters.length / 2)] ?? Infinity;
}
