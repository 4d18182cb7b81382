/**
 * @fileoverview Interface of the replicated state machine.
 */
import {type Entry} from '@dogwoodtrestle/schema';

/**
 * Deterministic state machine; all replicas apply the same entries in order.
 */
export interface StateMachine {
  /**
   * Applies an entry of kind `commands` and returns one result per command. A
   * result that is an error rejects the command's proposal. An error that is
   * thrown stops the replica, and every replica that applies the entry.
   */
  apply(entry: Entry): unknown[];
  /** Returns the complete state as a JSON value. */
  snapshot(): unknown;
  /** Replaces the complete state with one returned by `snapshot`. */
  restore(snapshot: unknown): void;
}
