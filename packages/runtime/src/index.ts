/** @fileoverview Face of the package; see its README. */
export {type Clock, sleep, systemClock} from './clock.js';
export {type Logger, silentLogger} from './logger.js';
export {
  type Counter,
  type Histogram,
  type LabelValues,
  MetricsRegistry,
} from './metricsRegistry.js';
export {type ConnectCallback, openSocket} from './openSocket.js';
export {
  type CallOptions,
  PeerCallFailed,
  PeerCalls,
  type PeerCallsOptions,
} from './peerCalls.js';
export {
  type CallHandler,
  type CallHandlers,
  PeerListener,
  type PeerListenerOptions,
  type PeerProxy,
} from './peerListener.js';
export {PeriodicTask, type PeriodicTaskOptions} from './periodicTask.js';
export {steadyClockName} from './steadyClockName.js';
