/**
 * @fileoverview Interface for messages between replicas.
 */
import {
  type ConsensusMessage,
  type ConsensusReply,
  type Member,
} from '@dogwoodtrestle/schema';

/** Sends messages to other replicas. */
export interface Transport {
  /**
   * Delivers a message and resolves with the reply; rejects on failure. The
   * replica stops waiting for the reply after `messageTimeoutMilliseconds`.
   */
  send(to: Member, message: ConsensusMessage): Promise<ConsensusReply>;
}
