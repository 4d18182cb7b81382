/**
 * @fileoverview Options of the stand-in backend servers, and the failures that
 * they can be told to show.
 */

/** What a stand-in does wrong, and with which of its measures. */
export type FailureMode =
  | {kind: 'none'}
  | {kind: 'exitAfterChunks'; chunks: number}
  | {kind: 'dropAfterFirstChunk'}
  | {kind: 'endAfterFirstChunk'}
  | {kind: 'noTerminator'}
  | {kind: 'overReport'; factor: number}
  | {kind: 'crossedId'}
  | {kind: 'slow'; milliseconds: number}
  | {kind: 'hang'}
  | {kind: 'dropBeforeRun'}
  | {kind: 'dropAfterRun'};

/** Options of any stand-in. */
export interface StandInOptions {
  name: string;
  host: string;
  /** 0 picks a free port. */
  port: number;
  failureDomain: string;
  /** Base URLs of the routers that receive the announcements. */
  routers: string[];
  /** Bearer key of the announcements. */
  key: string;
  capacity: number;
  announceEveryMilliseconds: number;
  /** Shortest time between announcing `leaving` and the end of the process. */
  leaveMilliseconds: number;
  /** Model that a model server offers. */
  model: string;
  /** Time between two tokens of a model server. */
  tokenDelayMilliseconds: number;
  /** Service that a service stand-in offers. */
  service: string;
  /** File that keeps a service's executions over its restarts. */
  recordFile?: string;
}

/** Defaults of {@link StandInOptions}. */
export const defaultStandInOptions: StandInOptions = {
  name: 'stand-in',
  host: '127.0.0.1',
  port: 0,
  failureDomain: 'local',
  routers: [],
  key: '',
  capacity: 16,
  announceEveryMilliseconds: 1000,
  leaveMilliseconds: 1500,
  model: 'barley-7b',
  tokenDelayMilliseconds: 5,
  service: 'bookings',
};

/** Body of `POST /control`; absent fields stay as they are. */
export interface ControlMessage {
  failure?: FailureMode;
  /** Number of calls that show the failure; without it all do. */
  times?: number;
  tokenDelayMilliseconds?: number;
  routers?: string[];
  state?: 'serving' | 'leaving';
}

/** One call that a stand-in received. */
export interface ReceivedCall {
  /** Wall time in milliseconds since the epoch. */
  at: number;
  method: string;
  path: string;
  attempt: string;
  priority: string;
  /** State that the server announced at that time. */
  state: 'serving' | 'leaving';
}
