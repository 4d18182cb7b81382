/**
 * @fileoverview Options of a replica, and their defaults.
 */
import {type Member} from '@dogwoodtrestle/schema';

import {type Clock} from './clock.js';
import {type StateMachine} from './stateMachine.js';
import {type Storage} from './storage.js';
import {type Transport} from './transport.js';

/** Limits and timeouts of a replica. */
export interface ReplicaTuning {
  heartbeatIntervalMilliseconds: number;
  /**
   * Time without contact after which a follower may start an election and a
   * leader steps down. Each follower waits a random time of one to two times
   * this value.
   */
  electionTimeoutMilliseconds: number;
  /**
   * The first election timeout after the start. It may be shorter, so that a
   * group whose replicas all start together elects a leader early; a group that
   * has a leader rejects the pre-vote. Defaults to
   * `electionTimeoutMilliseconds`.
   */
  firstElectionTimeoutMilliseconds?: number;
  /** Time after which a message without a reply is considered lost. */
  messageTimeoutMilliseconds: number;
  /** Maximum number of entries in one message. */
  maxMessageEntries: number;
  /** Approximate maximum size of the entries or snapshot chunk in a message. */
  maxMessageBytes: number;
  /** Maximum number of commands in one entry. */
  maxEntryCommands: number;
  /** Number of applied entries after which a snapshot is taken. */
  snapshotEveryEntries: number;
  /** Approximate size of applied entries after which a snapshot is taken. */
  snapshotEveryBytes: number;
  /** Maximum number of entries before a snapshot kept for lagging followers. */
  trailingEntries: number;
  /** Approximate maximum size of the entries kept for lagging followers. */
  trailingBytes: number;
  /**
   * Approximate maximum time for which entries are applied without yielding.
   */
  maxApplyMilliseconds: number;
  /** Called once when the replica stops because of an error. */
  onFailure: (error: unknown) => void;
}

/** Options and dependencies of a replica; see `defaultOptions`. */
export interface ReplicaOptions extends ReplicaTuning {
  member: Member;
  storage: Storage;
  stateMachine: StateMachine;
  transport: Transport;
  clock: Clock;
  /** Returns a pseudorandom number in the range [0, 1). */
  random: () => number;
}

/** Defaults for failure domains with a few milliseconds of network latency. */
export const defaultOptions: ReplicaTuning = {
  heartbeatIntervalMilliseconds: 100,
  electionTimeoutMilliseconds: 1_000,
  messageTimeoutMilliseconds: 500,
  maxMessageEntries: 1_000,
  maxMessageBytes: 512 * 1024,
  maxEntryCommands: 1_000,
  snapshotEveryEntries: 10_000,
  snapshotEveryBytes: 32 * 1024 * 1024,
  trailingEntries: 1_000,
  trailingBytes: 8 * 1024 * 1024,
  maxApplyMilliseconds: 20,
  onFailure: () => undefined,
};
