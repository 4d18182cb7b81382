/** @fileoverview Public API of the package. */
export {type AnnouncementResult} from './announcementBroadcaster.js';
export {
  applyServerRecord,
  receiveAnnouncements,
} from './announcementReceiver.js';
export {ControlNode, recordIntervalMilliseconds} from './controlNode.js';
export {
  type ControlInput,
  type ControlOptions,
  type ControlTuning,
  defaultControlOptions,
} from './controlOptions.js';
export {createControlParts} from './controlParts.js';
export {
  ControlService,
  type PutResult,
  type ReadResult,
} from './controlService.js';
export {
  EvacuationService,
  type EvacuationOrder,
  type EvacuationResult,
  type ForwardedOrder,
} from './evacuationService.js';
export {LeaderCalls, type Unavailable} from './leaderCalls.js';
export {ReplicaGroup} from './replicaGroup.js';
export {type ServerChangeRecorder} from './serverChangeRecorder.js';
export {type StreamService} from './streamService.js';
export {type WatchService} from './watchService.js';
