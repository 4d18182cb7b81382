/** @fileoverview Face of the package; see its README. */
export {type AnnouncementResult} from './announcementBroadcaster.js';
export {ControlNode} from './controlNode.js';
export {
  type ControlInput,
  type ControlOptions,
  type ControlTuning,
  defaultControlOptions,
} from './controlOptions.js';
export {
  ControlService,
  type PutResult,
  type ReadResult,
} from './controlService.js';
