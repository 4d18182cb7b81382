/**
 * @fileoverview Interface to the adapter that knows the names on the wire. The
 * router itself only handles what they mean.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** A part of a prompt that requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request asks of a model engine. */
export interface GenerationParameters {
  promptTokens: number;
  maxOutputTokens: number;
  /** Parts of the prompt in order; the last one belongs to the request. */
  parts: PromptPart[];
}

/** A request of a caller. */
export interface CallerRequest {
  /** Name of this attempt of the caller; servers repeat it in answers. */
  attemptId: string;
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  path: string;
  host: string;
  key?: string;
  /** Time that the caller still waits, in milliseconds. */
  timeRemainingMilliseconds?: number;
  generation?: GenerationParameters;
  /** Id of the last event of a stream that the caller has. */
  lastEventId?: string;
  /** Headers to be passed on, names and values by turns. */
  headers: string[];
}

/** What the router tells a server beside the caller's request. */
export interface ForwardInstructions {
  server: BackendServerRecord;
  timeRemainingMilliseconds: number;
  workspace?: string;
  /** From 0, the most urgent, to 9. */
  urgency?: number;
  /** A stream goes on after this event. */
  lastEventId?: string;
}

/** What the headers of a server's answer say. */
export interface ResponseHead {
  attemptId?: string;
  /** The server states that it did not run the request. */
  isNotExecuted: boolean;
  isSigned: boolean;
  isEncoded: boolean;
  /** The server is leaving and wants nothing more. */
  isLeaving: boolean;
  /** Time for which the server wants nothing. */
  retryAfterSeconds?: number;
  /** The body has no length and ends with the connection. */
  isUnframed: boolean;
  /** Headers to be passed on, names and values by turns. */
  headers: string[];
}

/** Translates between names on the wire and the router's types. */
export interface WireCodec {
  /** Returns undefined for a request without what every request needs. */
  decodeRequest(
    method: string,
    target: string,
    rawHeaders: readonly string[],
  ): CallerRequest | undefined;
  encodeRequest(
    request: CallerRequest,
    instructions: ForwardInstructions,
  ): string[];
  decodeResponse(rawHeaders: readonly string[]): ResponseHead;
}

/** Head of an answer of which nothing is known. */
export const emptyResponseHead: ResponseHead = {
  isNotExecuted: false,
  isSigned: false,
  isEncoded: false,
  isLeaving: false,
  isUnframed: false,
  headers: [],
};
