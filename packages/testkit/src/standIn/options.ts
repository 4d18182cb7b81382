/**
 * @fileoverview Options of the stand-in backend servers, and the failures that
 * they can simulate.
 */

/** A failure that a stand-in simulates, with its parameters. */
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

/** Options of a stand-in of any kind. */
export interface StandInOptions {
  name: string;
  host: string;
  /** 0 selects a free port. */
  port: number;
  failureDomain: string;
  /** Base URLs of the routers that receive the announcements. */
  routers: string[];
  /** Bearer token of the announcements. */
  key: string;
  capacity: number;
  announceEveryMilliseconds: number;
  /** Minimum time between announcing `leaving` and closing. */
  leaveMilliseconds: number;
  /** Model that a model server offers. */
  model: string;
  /** Time between two tokens of a model server. */
  tokenDelayMilliseconds: number;
  /** Service that a service stand-in offers. */
  service: string;
  /** File in which a service stores its executions across restarts. */
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

/** Body of `POST /control`; absent fields are left unchanged. */
export interface ControlMessage {
  failure?: FailureMode;
  /** Number of calls that fail; by default all further calls. */
  times?: number;
  tokenDelayMilliseconds?: number;
  routers?: string[];
  state?: 'serving' | 'leaving';
}

/** One call that a stand-in received. */
export interface ReceivedCall {
  /** Time in milliseconds since the epoch. */
  at: number;
  method: string;
  path: string;
  attempt: string;
  priority: string;
  /** State that the server announced when it received the call. */
  state: 'serving' | 'leaving';
}
