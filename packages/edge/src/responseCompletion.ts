/**
 * @fileoverview Classifies the end of a backend server's response.
 */

import {type ResponseHead} from './wireCodec.js';

/** A server's complete response; a failed one is kept as a fallback. */
export interface BufferedResponse {
  status: number;
  head: ResponseHead;
  body: Buffer;
}

/** State of a backend server's response after its end. */
export interface EndedResponse {
  status: number;
  /** Its bytes were streamed to the caller. */
  isPassedOn: boolean;
  /** It ended inside an event. */
  isInsideEvent: boolean;
  /** It had no length and was ended by closing its connection. */
  isUnframed: boolean;
  /** The head of the caller's response was written. */
  isCallerStarted: boolean;
  /** The response whose head the caller got had no length. */
  isCallerUnframed: boolean;
}

/** Completeness of a response. */
export type ResponseCompletion =
  /** It was streamed to the caller completely. */
  | 'complete'
  /** It is complete and buffered; nothing was sent to the caller. */
  | 'held'
  /** It ended inside an event. */
  | 'insideEvent'
  /** The server sent another response instead of resuming the stream. */
  | 'notResumed'
  /** It is not known whether the resumed stream is complete. */
  | 'unknown';

/** What is done with a response, by its completeness. */
export type CompletionHandlers = Readonly<
  Record<ResponseCompletion, (response: BufferedResponse) => void>
>;

/** Classifies a response; the first case that applies is returned. */
export function classifyResponse(answer: EndedResponse): ResponseCompletion {
  if (answer.isInsideEvent) return 'insideEvent';
  if (!answer.isCallerStarted) return 'held';
  if (!answer.isPassedOn) return 'notResumed';
  if (answer.isUnframed && !answer.isCallerUnframed) return 'unknown';
  return 'complete';
}

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status may not be passed on for a request that ran. */
export function impliesNotRun(status: number): boolean {
  return notRunStatuses.has(status);
}

/** Whether the head of a response shows that its server goes on with a request. */
export function continuesRequest(
  status: number,
  {isStarted}: {isStarted: boolean},
): boolean {
  if (status < 300) return true;
  return !isStarted && status < 500 && !impliesNotRun(status);
}
