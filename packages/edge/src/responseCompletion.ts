/**
 * @fileoverview What the end of a server's answer means for the caller's answer.
 */

/** What is known once a server's answer has ended. */
export interface EndedResponse {
  status: number;
  /** Its bytes were passed on as they came. */
  isPassedOn: boolean;
  /** Bytes of an event came, and its end didn't. */
  isInsideEvent: boolean;
  /** It had no length and ended with its connection. */
  isUnframed: boolean;
  /** The head of the caller's answer was written. */
  isCallerStarted: boolean;
  /** The caller's answer ends with its connection as well. */
  isCallerUnframed: boolean;
}

/** What follows. */
export type ResponseCompletion =
  /** The caller has all of it. */
  | 'whole'
  /** It wasn't passed on yet, and is complete. */
  | 'held'
  /** It broke off inside an event. */
  | 'insideEvent'
  /** A stream was to go on, and the server answered something else. */
  | 'notResumed'
  /** Whether the resumed stream is whole can't be known. */
  | 'unknown';

/** Judges the end of an answer; the first case that fits holds. */
export function classifyResponse(response: EndedResponse): ResponseCompletion {
  if (response.isInsideEvent) return 'insideEvent';
  if (!response.isCallerStarted) return 'held';
  if (!response.isPassedOn) return 'notResumed';
  if (response.isUnframed && !response.isCallerUnframed) return 'unknown';
  return 'whole';
}

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status may not be passed on for a request that ran. */
export function impliesNotRun(status: number): boolean {
  return notRunStatuses.has(status);
}
