/** @fileoverview Public API of the package. */
export {
  AdaptiveTimeout,
  type AdaptiveTimeoutOptions,
} from './adaptiveTimeout.js';
export {
  type BodyFailure,
  type BodyReaderOptions,
  type ReadBody,
  readBody,
} from './bodyReader.js';
export {
  ByteAccount,
  type ByteAccountOptions,
  defaultByteAccountOptions,
  HeldBytes,
} from './byteAccount.js';
export {ByteAccumulator, ByteBudget} from './byteAccumulator.js';
export {callIdHeader} from './callId.js';
export {CallContext, type ReplyRecord} from './callContext.js';
export {type Clock, sleep, systemClock} from './clock.js';
export {
  ConnectionLimit,
  type ConnectionLimitOptions,
  logClosedConnections,
} from './connectionLimit.js';
export {connectionErrorCode} from './connectionErrorCode.js';
export {
  defaultDiscardOptions,
  type DiscardOptions,
  discardRest,
} from './discardRest.js';
export {EmbeddedHeadFinder, type HeadTest} from './embeddedHead.js';
export {EventLoopDelay} from './eventLoopDelay.js';
export {keepUnreadResponses} from './idleConnections.js';
export {
  type ClientLimit,
  defaultLimitRecorderOptions,
  type LimitListener,
  LimitRecorder,
  type LimitRecorderOptions,
  limitsOfFailures,
  type PortName,
  recordLimitsOf,
} from './limitRecorder.js';
export {type Logger, silentLogger} from './logger.js';
export {
  type Counter,
  type Histogram,
  type LabelValues,
  MetricsRegistry,
} from './metricsRegistry.js';
export {
  encodeMessage,
  type EncodedMessage,
  type EncodingOptions,
  shareEncoding,
} from './messageEncoding.js';
export {monotonicClockId} from './monotonicClockId.js';
export {type ConnectCallback, openSocket} from './openSocket.js';
export {isOrderlyEnd} from './orderlyEnd.js';
export {PausableSocket} from './pausableSocket.js';
export {waitForPendingClose} from './pendingClose.js';
export {
  type CallOptions,
  PeerCallClient,
  type PeerCallClientOptions,
  PeerCallError,
} from './peerCallClient.js';
export {exceedsValues} from './jsonValues.js';
export {maxMessageBytes} from './readMessage.js';
export {
  type CallHandler,
  type CallHandlers,
  type ConnectionCounts,
  type ConnectionEnd,
  PeerCallServer,
  type PeerCallServerOptions,
  type PeerProxy,
} from './peerCallServer.js';
export {
  PresenceConnection,
  type PresenceConnectionOptions,
} from './presenceConnection.js';
export {
  defaultParsingTurnOptions,
  divideParsing,
  type ParsingTurnOptions,
} from './parsingTurns.js';
export {limitRequestsAhead, maxOpenRequests} from './requestsAhead.js';
export {followRunningRequests} from './runningRequests.js';
export {
  EndlessResponse,
  maxOverheadBytes,
  ResponseOverhead,
} from './responseOverhead.js';
export {settledWithin} from './settledWithin.js';
export {PeriodicTask, type PeriodicTaskOptions} from './periodicTask.js';
export {registerMemoryGauges} from './processMemory.js';
