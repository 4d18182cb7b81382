/**
 * @fileoverview How far a request has come at one server.
 */
import {type Attempt} from './attempt.js';
import {type EventScanner} from './eventScanner.js';
import {type PooledServer} from './serverPool.js';
import {type ResponseHead} from './wireCodec.js';

/** State of the attempt in progress. */
export interface AttemptProgress {
  server: PooledServer;
  attempt?: Attempt;
  startedAt: number;
  /** Time of the last whole event, or of the last byte of another answer. */
  progressAt: number;
  status: number;
  head?: ResponseHead;
  /** Bytes of an answer that is held back until it is whole. */
  held: Buffer[];
  heldBytes: number;
  /** Where the answer is a stream that succeeds. */
  scanner?: EventScanner;
  /** Whether its bytes are passed on as they come. */
  isPassedOn: boolean;
  hasFirstEvent: boolean;
}

/** A request is about to be sent. */
export function createProgress(
  server: PooledServer,
  now: number,
): AttemptProgress {
  return {
    server,
    startedAt: now,
    progressAt: now,
    status: 0,
    held: [],
    heldBytes: 0,
    isPassedOn: false,
    hasFirstEvent: false,
  };
}
