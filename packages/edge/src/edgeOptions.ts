/**
 * @fileoverview Options of a router without a disk, and their defaults.
 */
import {type WindowedRetryBudgetOptions} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Logger,
  type MetricsRegistry,
  type PeerProxy,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';

import {type WireCodec} from './wireCodec.js';

/** Limits and times of a router. */
export interface EdgeTuning {
  retryBudget: Partial<WindowedRetryBudgetOptions>;
  /** Time limit of a question for changes, above the time it may wait. */
  watchTimeoutMilliseconds: number;
  reportTimeoutMilliseconds: number;
  /** Interval at which spent tokens are reported. */
  reportIntervalMilliseconds: number;
  /** Time for which a request waits for a larger grant. */
  grantWaitMilliseconds: number;
  /** Time limit of a question for a loan. */
  loanTimeoutMilliseconds: number;
  connectTimeoutMilliseconds: number;
  /** Silence of a server with open requests after which it is suspect. */
  suspectAfterMilliseconds: number;
  /** Silence after which a request that may be repeated goes elsewhere. */
  eventGapTimeoutMilliseconds: number;
  /** Time for which new connections are still taken while stopping. */
  lingerMilliseconds: number;
  /** Time after which a stopping router breaks off what is open. */
  drainMilliseconds: number;
}

/** What a router needs. */
export interface EdgeOptions extends EdgeTuning {
  /** Name of this instance. */
  instance: string;
  failureDomain: string;
  /** Address for callers, `host:port`. */
  callerAddress: string;
  /** Address for calls of other processes, `host:port`. */
  peerAddress: string;
  /** Proxy before the peer address; none where it is missing. */
  proxy?: PeerProxy;
  /** Peer addresses of some control processes, as the settings name them. */
  seeds: () => string[];
  /** Name of the machine's steady clock; the system's where it is missing. */
  steadyClock?: string;
  codec: WireCodec;
  logger: Logger;
  metrics: MetricsRegistry;
  clock: Clock;
  random: () => number;
}

/** Options that have no default, and any others. */
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

export const defaultEdgeOptions = {
  retryBudget: {},
  watchTimeoutMilliseconds: 1_600,
  reportTimeoutMilliseconds: 700,
  reportIntervalMilliseconds: 400,
  grantWaitMilliseconds: 250,
  loanTimeoutMilliseconds: 80,
  connectTimeoutMilliseconds: 400,
  suspectAfterMilliseconds: 900,
  eventGapTimeoutMilliseconds: 1_000,
  // The balancer takes a router out after two questions, one a second.
  lingerMilliseconds: 2_600,
  // Within the 8 s that a process is given after SIGTERM.
  drainMilliseconds: 7_600,
  logger: silentLogger,
  clock: systemClock,
  random: Math.random,
} satisfies Partial<EdgeOptions>;
