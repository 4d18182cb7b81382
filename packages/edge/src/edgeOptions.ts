/**
 * @fileoverview Options of a diskless router and their defaults.
 */
import {type WindowedRetryBudgetOptions} from '@dogwoodtrestle/fleet';
import {
  type ByteAccountOptions,
  type Clock,
  type Logger,
  type MetricsRegistry,
  type PeerProxy,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';

import {type WireCodec} from './wireCodec.js';

/** Timeouts, intervals and limits of a router. */
export interface EdgeTuning {
  /** Limits of retries as a share of requests. */
  retryBudget: Partial<WindowedRetryBudgetOptions>;
  /** Time for which the leader may delay its reply to a watch call. */
  longPollMilliseconds: number;
  /** Time after which the reply to a watch call is late, however slow replies are. */
  watchTimeoutMilliseconds: number;
  /** Time after which a usage report is late, and another one is sent. */
  reportTimeoutMilliseconds: number;
  /** Interval of usage reports. */
  reportIntervalMilliseconds: number;
  /** Time for which a request waits for a larger grant. */
  grantWaitMilliseconds: number;
  /** Limit of that time where replies of the leader are slow. */
  maxGrantWaitMilliseconds: number;
  /** Time after which the next lender is asked for a loan. */
  loanTimeoutMilliseconds: number;
  /** Timeout of a connection to a backend server. */
  connectTimeoutMilliseconds: number;
  /** Limit of that time where connections are usually slow. */
  maxConnectTimeoutMilliseconds: number;
  /** Silence after which a server with open requests is suspect. */
  suspectAfterMilliseconds: number;
  /** Timeout between events, after which a stream is retried elsewhere. */
  eventGapTimeoutMilliseconds: number;
  /** Longest time for which a busy router may delay an event of a stream. */
  maxEventDelayMilliseconds: number;
  /** Time for which a stopping router still accepts new connections. */
  lingerMilliseconds: number;
  /** Time after which a stopping router aborts open requests. */
  drainMilliseconds: number;
}

/** What a router holds for others at most. */
export interface EdgeCapacity {
  /** What it holds for its callers. */
  callerBytes: Partial<ByteAccountOptions>;
  /** Connections of callers that are open at once. */
  maxCallerConnections: number;
  /** Connections of other processes that are open at once. */
  maxPeerConnections: number;
}

/** Options of a router. */
export interface EdgeOptions extends EdgeTuning, EdgeCapacity {
  /** Name of this instance. */
  instance: string;
  failureDomain: string;
  /** Listening address for callers, `host:port`. */
  callerAddress: string;
  /** Address for calls from other processes, `host:port`. */
  peerAddress: string;
  /** Proxy in front of the peer address, if any. */
  proxy?: PeerProxy;
  /**
   * Returns the time within which a change of the configuration and the departure
   * of a server must be in force at every router that is in touch.
   */
  viewBoundMilliseconds: () => number;
  /** Returns the configured peer addresses of some control processes. */
  seeds: () => string[];
  /** Id of the machine's monotonic clock; read from the system by default. */
  steadyClock?: string;
  codec: WireCodec;
  logger: Logger;
  metrics: MetricsRegistry;
  clock: Clock;
  random: () => number;
}

/** Options to start a router; those with defaults may be omitted. */
export type EdgeStartOptions = Partial<EdgeOptions> &
  Pick<
    EdgeOptions,
    | 'instance'
    | 'failureDomain'
    | 'callerAddress'
    | 'peerAddress'
    | 'seeds'
    | 'codec'
    | 'metrics'
  >;

/** Default options. */
export const defaultEdgeOptions = {
  retryBudget: {},
  longPollMilliseconds: 1_000,
  watchTimeoutMilliseconds: 1_600,
  reportTimeoutMilliseconds: 700,
  reportIntervalMilliseconds: 400,
  grantWaitMilliseconds: 250,
  maxGrantWaitMilliseconds: 1_000,
  loanTimeoutMilliseconds: 80,
  connectTimeoutMilliseconds: 400,
  maxConnectTimeoutMilliseconds: 2_000,
  suspectAfterMilliseconds: 900,
  eventGapTimeoutMilliseconds: 1_000,
  maxEventDelayMilliseconds: 0,
  // The load balancer removes a router after two failed checks, one a second.
  lingerMilliseconds: 2_600,
  // A process must exit within 8 s of SIGTERM.
  drainMilliseconds: 7_600,
  viewBoundMilliseconds: () => 2_000,
  callerBytes: {},
  maxCallerConnections: Infinity,
  maxPeerConnections: Infinity,
  logger: silentLogger,
  clock: systemClock,
  random: Math.random,
} satisfies Partial<EdgeOptions>;
