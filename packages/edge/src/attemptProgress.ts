/**
 * @fileoverview Progress of a request at one backend server.
 */
import {ByteAccumulator, type ByteBudget} from '@dogwoodtrestle/runtime';

import {type Attempt} from './attempt.js';
import {EventScanner} from './eventScanner.js';
import {type OpenRequest} from './serverCrashes.js';
import {type ServerObservers} from './serverObservers.js';
import {type PooledServer} from './serverPool.js';
import {type ResponseHead} from './wireCodec.js';

/** State of the current attempt. Times are monotonic, in milliseconds. */
export interface AttemptProgress {
  server: PooledServer;
  attempt?: Attempt;
  observers?: ServerObservers;
  /** Set while the request is open at the server. */
  open?: OpenRequest;
  startedAt: number;
  /** Time of the last complete event, or of the last byte of another response. */
  progressAt: number;
  /** Time at which the caller had last read what it was sent. */
  readAt: number;
  /** Status of the response; 0 before its head arrived. */
  status: number;
  head?: ResponseHead;
  /** Buffered bytes of a response that is not yet streamed. */
  readonly held: ByteAccumulator;
  /** Set where the response is a successful event stream. */
  scanner?: EventScanner;
  /** Whether bytes are relayed to the caller as they arrive. */
  isPassedOn: boolean;
  hasFirstEvent: boolean;
  /** Complete events. */
  events: number;
  /** The event up to which the pauses of the stream were recorded, and its time. */
  recordedEvents: number;
  recordedAt: number;
}

/** Returns the state of an attempt that starts now. */
export function createProgress(
  server: PooledServer,
  now: number,
  budget: ByteBudget,
): AttemptProgress {
  return {
    server,
    startedAt: now,
    progressAt: now,
    readAt: now,
    status: 0,
    held: new ByteAccumulator(budget),
    isPassedOn: false,
    hasFirstEvent: false,
    events: 0,
    recordedEvents: 0,
    recordedAt: now,
  };
}

/** Starts to read the events of a stream, after the last one that is known. */
export function startEvents(
  progress: AttemptProgress,
  lastEventId: string | undefined,
  budget: ByteBudget,
): void {
  const known = lastEventId === undefined ? undefined : Number(lastEventId);
  progress.scanner = new EventScanner(known, budget);
  progress.isPassedOn = true;
}

/**
 * How an attempt ended: the server `broke` off, or gave a `whole` answer, or a
 * whole response of another status, `failed`.
 */
export type AttemptEnd = 'broke' | 'whole' | 'failed' | 'other';

/**
 * Classifies an attempt whose response has ended. Without a length, the end of
 * a connection may be that of the answer or that of the server.
 */
export function classifyAttemptEnd({
  status,
  head,
  scanner,
  hasFirstEvent,
}: AttemptProgress): AttemptEnd {
  const isUnframed = head?.isUnframed === true;
  const isInsideEvent = scanner?.isInsideEvent === true;
  if (isUnframed && (isInsideEvent || !hasFirstEvent)) return 'broke';
  if (isUnframed || isInsideEvent) return 'other';
  return status < 300 ? 'whole' : 'failed';
}

/** Frees the memory of a response that is not read any more. */
export function releaseBytes({held, scanner}: AttemptProgress): void {
  held.clear();
  scanner?.close();
}
