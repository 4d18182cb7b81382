/**
 * @fileoverview Options of a replica, and their defaults.
 */
import {type Member} from '@dogwoodtrestle/schema';

import {type Clock} from './clock.js';
import {type StateMachine} from './stateMachine.js';
import {type Storage} from './storage.js';
import {type Transport} from './transport.js';

/** Tunable limits and times of a replica. */
export interface ReplicaTuning {
  heartbeatIntervalMilliseconds: number;
  /**
   * Time without contact after which a follower may stand for election and a
   * leader steps down. Followers wait up to twice as long, at random.
   */
  electionTimeoutMilliseconds: number;
  /**
   * The same for the first time after the start, when a group that started as
   * a whole has no leader. A group that has one refuses the pre-vote. As long
   * as the others where it is missing.
   */
  firstElectionTimeoutMilliseconds?: number;
  /** Time after which a message without a reply counts as lost. */
  messageTimeoutMilliseconds: number;
  /** Entries that one message carries at most. */
  maxMessageEntries: number;
  /** Bytes of entries or of snapshot that one message carries, about. */
  maxMessageBytes: number;
  /** Commands that one entry carries at most. */
  maxEntryCommands: number;
  /** Entries between two snapshots, at most. */
  snapshotEveryEntries: number;
  /** Bytes of entries between two snapshots, about, at most. */
  snapshotEveryBytes: number;
  /** Entries up to the snapshot that are kept for followers that lag. */
  trailingEntries: number;
  /** Bytes of these entries, about, at most. */
  trailingBytes: number;
  /** Time for which entries are applied without a pause, about, at most. */
  maxApplyMilliseconds: number;
  /** Called once when the replica stops because of an error. */
  onFailure: (error: unknown) => void;
}

/** What a replica needs; see `defaultOptions` for the tuning. */
export interface ReplicaOptions extends ReplicaTuning {
  member: Member;
  storage: Storage;
  stateMachine: StateMachine;
  transport: Transport;
  clock: Clock;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

/** Tuning for failure domains that are a few milliseconds apart. */
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
