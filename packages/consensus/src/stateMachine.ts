/**
 * @fileoverview Interface of the state machine that a replica drives.
 */
import {type Entry} from '@dogwoodtrestle/schema';

/** Deterministic state machine; every replica applies the same entries. */
export interface StateMachine {
  /**
   * Applies an entry of kind `commands` and returns one result per command.
   * An error stops the replica.
   */
  apply(entry: Entry): unknown[];
  /** Returns the whole state as a JSON value. */
  snapshot(): unknown;
  /** Replaces the whole state by one that `snapshot` returned. */
  restore(snapshot: unknown): void;
}
