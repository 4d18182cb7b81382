/**
 * @fileoverview Options of a control process, and their defaults.
 */
import {type ReplicaTuning} from '@dogwoodtrestle/consensus';
import {
  type Clock,
  type Logger,
  type MetricsRegistry,
  type PeerProxy,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';

/** Limits and times of a control process. */
export interface ControlTuning {
  /** Time limit of a call that a follower passes to the leader. */
  forwardTimeoutMilliseconds: number;
  /** Time limit of a short call to another replica. */
  peerTimeoutMilliseconds: number;
  /** Time for which a router's question for changes waits at the most. */
  watchMilliseconds: number;
  /** Time without a report after which a router counts as gone. */
  routerLostAfterMilliseconds: number;
  /** Voters that the group should have. */
  targetVoters: number;
  /** Silence after which a replica may be replaced by a new one. */
  replicaLostAfterMilliseconds: number;
  /** Interval at which the leader looks after the members of the group. */
  membershipIntervalMilliseconds: number;
  /** Interval at which a process that isn't a member asks to join. */
  joinIntervalMilliseconds: number;
  /** Time for which announcements of servers are gathered before a call. */
  announcementBatchMilliseconds: number;
  consensus: Partial<ReplicaTuning>;
}

/** What a control process needs. */
export interface ControlOptions extends ControlTuning {
  /** Name of this instance. */
  instance: string;
  failureDomain: string;
  /** Address for calls of other processes, `host:port`. */
  peerAddress: string;
  /** Proxy before the peer address; none where it is missing. */
  proxy?: PeerProxy;
  dataFolder: string;
  /** Peer addresses of some control processes, as the settings name them. */
  seeds: () => string[];
  /** Whether the fleet starts for the first time, with empty disks. */
  bootstrap: boolean;
  logger: Logger;
  metrics: MetricsRegistry;
  clock: Clock;
  /** Called once when the replica stops because of an error. */
  onFailure: (error: unknown) => void;
}

/** Options that have no default, and any others. */
export type ControlInput = Partial<ControlOptions> &
  Pick<
    ControlOptions,
    | 'instance'
    | 'failureDomain'
    | 'peerAddress'
    | 'dataFolder'
    | 'seeds'
    | 'bootstrap'
    | 'metrics'
    | 'onFailure'
  >;

/** Tuning for failure domains that are a few milliseconds apart. */
export const defaultControlOptions = {
  // Below the second after which callers move on to another process.
  forwardTimeoutMilliseconds: 800,
  peerTimeoutMilliseconds: 500,
  watchMilliseconds: 1_000,
  routerLostAfterMilliseconds: 5_000,
  targetVoters: 5,
  // A successor must be a voter, and its predecessor none, within 4 s.
  replicaLostAfterMilliseconds: 2_000,
  membershipIntervalMilliseconds: 200,
  joinIntervalMilliseconds: 300,
  announcementBatchMilliseconds: 50,
  consensus: {
    heartbeatIntervalMilliseconds: 150,
    electionTimeoutMilliseconds: 600,
    firstElectionTimeoutMilliseconds: 250,
    messageTimeoutMilliseconds: 400,
    // Bounds the files: a snapshot ends the segments before it.
    snapshotEveryEntries: 3_000,
    snapshotEveryBytes: 12 * 1024 * 1024,
    trailingBytes: 4 * 1024 * 1024,
  },
  logger: silentLogger,
  clock: systemClock,
} satisfies Partial<ControlOptions>;
