/**
 * @fileoverview Options of a control process, and their defaults.
 */
import {type ReplicaTuning} from '@dogwoodtrestle/consensus';
import {
  type ColdLimitBounds,
  defaultColdLimitBounds,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Logger,
  type MetricsRegistry,
  type PeerProxy,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';

/** Limits and timeouts of a control process. */
export interface ControlTuning {
  /** Timeout of a call that a follower forwards to the leader. */
  forwardTimeoutMilliseconds: number;
  /** Time for which the leader tries to commit the departure of a server. */
  acknowledgeTimeoutMilliseconds: number;
  /** Timeout of a short call to another replica. */
  peerTimeoutMilliseconds: number;
  /** Time limit of a router's long poll for changes. */
  watchMilliseconds: number;
  /** Time without a request after which a router is considered lost. */
  routerLostAfterMilliseconds: number;
  /** Intended number of voters in the group. */
  targetVoters: number;
  /** Time without contact after which a replica may be replaced. */
  replicaLostAfterMilliseconds: number;
  /** Interval at which the leader checks and repairs the membership. */
  membershipIntervalMilliseconds: number;
  /** Interval at which a process that isn't a member asks to join. */
  joinIntervalMilliseconds: number;
  /** Time for which announcements of servers are batched. */
  announcementBatchMilliseconds: number;
  /** What a cold server may get in one second, beyond its limit. */
  coldLimitBounds: ColdLimitBounds;
  consensus: Partial<ReplicaTuning>;
  /** Connections of other processes that are open at once. */
  maxPeerConnections: number;
  /** Bytes of all calls of other processes that are being read. */
  maxCallBytes: number;
  /** Values in the JSON of one call of another process. */
  maxCallValues: number;
}

/** Options of a control process. */
export interface ControlOptions extends ControlTuning {
  /** Name of this instance. */
  instance: string;
  failureDomain: string;
  /** Returns all failure domains, if they are configured. */
  failureDomains: () => readonly string[] | undefined;
  /** Address for calls from other processes, `host:port`. */
  peerAddress: string;
  /** Reverse proxy in front of the peer address, if any. */
  proxy?: PeerProxy;
  dataFolder: string;
  /** Returns the seed peer addresses of control processes from the settings. */
  seeds: () => string[];
  /** Whether to bootstrap a new fleet; all disks must be empty. */
  bootstrap: boolean;
  logger: Logger;
  metrics: MetricsRegistry;
  clock: Clock;
  /** Called once if the replica stops because of an error. */
  onFailure: (error: unknown) => void;
}

/** Options with those that have a default optional. */
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

/** Defaults for failure domains that are a few milliseconds apart. */
export const defaultControlOptions = {
  // Below the timeout of 1 s after which callers try another process.
  forwardTimeoutMilliseconds: 800,
  // Leaves time for the reply to a process that forwards the call.
  acknowledgeTimeoutMilliseconds: 700,
  peerTimeoutMilliseconds: 500,
  watchMilliseconds: 1_000,
  routerLostAfterMilliseconds: 5_000,
  targetVoters: 5,
  // A replacement must be a voter, and the lost member removed, within 4 s.
  replicaLostAfterMilliseconds: 2_000,
  membershipIntervalMilliseconds: 200,
  joinIntervalMilliseconds: 300,
  announcementBatchMilliseconds: 50,
  coldLimitBounds: defaultColdLimitBounds,
  consensus: {
    heartbeatIntervalMilliseconds: 150,
    electionTimeoutMilliseconds: 600,
    firstElectionTimeoutMilliseconds: 250,
    messageTimeoutMilliseconds: 400,
    // Bounds the log size: a snapshot replaces the segments before it.
    snapshotEveryEntries: 3_000,
    snapshotEveryBytes: 12 * 1024 * 1024,
    trailingBytes: 4 * 1024 * 1024,
  },
  failureDomains: () => undefined,
  maxPeerConnections: Infinity,
  maxCallBytes: 128 * 1024 * 1024,
  maxCallValues: 16 * 1024 * 1024,
  logger: silentLogger,
  clock: systemClock,
} satisfies Partial<ControlOptions>;
