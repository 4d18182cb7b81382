/**
 * @fileoverview Interface by which a replica reaches the other replicas.
 */
import {
  type ConsensusMessage,
  type ConsensusReply,
  type Member,
} from '@dogwoodtrestle/schema';

/** Carries messages to other replicas. */
export interface Transport {
  /**
   * Delivers a message and resolves with the reply. Rejects on failure. A reply
   * that takes longer than `messageTimeoutMilliseconds` counts as lost.
   */
  send(to: Member, message: ConsensusMessage): Promise<ConsensusReply>;
}
