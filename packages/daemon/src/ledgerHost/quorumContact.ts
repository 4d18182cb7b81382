/**
 * @fileoverview Measures the time since a replica's last contact with the quorum.
 */
import {type ReplicaStatus} from '@dogwoodtrestle/consensus';
import {
  type ConsensusMessage,
  type ConsensusReply,
} from '@dogwoodtrestle/schema';

import {type Clock} from '@dogwoodtrestle/runtime';

/** Age reported if there was no contact yet, since JSON has no infinity. */
export const neverContactedMilliseconds = 1_000_000_000;

/** Tracks a replica's contact with the quorum. */
export class QuorumContact {
  private lastContactAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /**
   * Records a leader's message that this replica has answered. It counts as
   * contact only if all entries that the leader had committed are applied here.
   */
  recordMessage(
    message: ConsensusMessage,
    reply: ConsensusReply,
    lastApplied: number,
  ): void {
    if (message.kind !== 'append' || reply.kind !== 'append') return;
    if (reply.success && lastApplied >= message.commitIndex) {
      this.lastContactAt = this.clock.now();
    }
  }

  /** Time since the last contact with the quorum, in milliseconds. */
  ageMilliseconds(status: ReplicaStatus): number {
    const age =
      status.role === 'leader'
        ? leaderAge(status)
        : this.clock.now() - this.lastContactAt;
    return Math.round(Math.min(age, neverContactedMilliseconds));
  }
}

/** Time since the leader last had contact with a majority of the voters. */
function leaderAge({id, members, peers}: ReplicaStatus): number {
  const voters = members.filter(({role}) => role === 'voter');
  const contacts = new Map(peers.map(peer => [peer.id, peer.lastContactMs]));
  const ages = voters
    .map(voter => (voter.id === id ? 0 : (contacts.get(voter.id) ?? Infinity)))
    .sort((left, right) => left - right);
  return ages[Math.floor(voters.length / 2)] ?? Infinity;
}
