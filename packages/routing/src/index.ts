/** @fileoverview Public API of the package. */
export * from './admission/admissionCapacity.js';
export * from './admission/admissionController.js';
export * from './admission/roomQueue.js';
export * from './backendDirectory.js';
export * from './chooseBackend.js';
export * from './concurrencyLimiter.js';
export * from './hedging.js';
export * from './kvTransfer.js';
export * from './loadTracker.js';
export * from './membership/choosePeers.js';
export * from './membership/instanceRecord.js';
export * from './membership/instanceTable.js';
export * from './membership/membershipFinding.js';
export * from './orders/orderPlanner.js';
export * from './orders/wantedOffers.js';
export * from './outlierDetector.js';
export * from './prefixBlocks.js';
export * from './prefixIndex.js';
export * from './priority.js';
export * from './rateLimiter.js';
export * from './retryBudget.js';
export * from './slowStart.js';
export {
  type AgedRecord,
  type Digest,
  type DigestSlice,
  type Observation,
  type Version,
  type VersionVector,
} from './util/gossipTable.js';
export {type LimitedRequest} from './util/limitScope.js';
export {TokenBucket, type TokenBucketOptions} from './util/tokenBucket.js';
export {truncateToBytes} from './util/truncateToBytes.js';
