/**
 * @fileoverview Interface to the adapter that maps HTTP headers to the router's
 * types. The router itself knows no header names.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** A part of a prompt, which requests may share as a prefix. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Parameters of a request to a model engine. */
export interface GenerationParameters {
  promptTokens: number;
  maxOutputTokens: number;
  /** Parts of the prompt in order; the last one is not shared. */
  parts: PromptPart[];
}

/** A caller's request. */
export interface CallerRequest {
  /** Id of this attempt of the caller; servers return it in responses. */
  attemptId: string;
  method: string;
  /** Path and query as sent by the caller. */
  target: string;
  path: string;
  host: string;
  key?: string;
  /** Time until the caller's deadline, in milliseconds. */
  timeRemainingMilliseconds?: number;
  generation?: GenerationParameters;
  /** Id of the last event of a stream that the caller has received. */
  lastEventId?: string;
  /** Attempt that brought the first event of that stream, if the caller says. */
  resumedAttemptId?: string;
  /**
   * Whether the caller names the version that a server must have. A server of
   * another version answers like one of another incarnation.
   */
  namesVersion?: boolean;
  /** Headers to forward, as alternating names and values. */
  headers: string[];
}

/** What the router sends to a server with the caller's request. */
export interface ForwardInstructions {
  server: BackendServerRecord;
  timeRemainingMilliseconds: number;
  workspace?: string;
  /** From 0, the most urgent, to 9. */
  urgency?: number;
  /** Id of the event after which a stream is resumed. */
  lastEventId?: string;
}

/** A limit on the requests of all routers that a server states. */
export interface StatedLimit {
  /** Requests per second; missing if the value can't be read. */
  perSecond?: number;
  /** The value as sent, truncated, for the logs. */
  text: string;
}

/** Decoded head of a server's response. */
export interface ResponseHead {
  attemptId?: string;
  /** The server states that it did not execute the request. */
  isNotExecuted: boolean;
  /** It carries the server's signature. */
  isSigned: boolean;
  /** Its body has a content encoding, or a transfer coding other than chunks. */
  isEncoded: boolean;
  /** The server is shutting down and accepts no more requests. */
  isLeaving: boolean;
  /** Time for which the server accepts no requests, in seconds. */
  retryAfterSeconds?: number;
  /** Missing if the server states no limit. */
  requestLimit?: StatedLimit;
  /** The body has no length and is ended by closing the connection. */
  isUnframed: boolean;
  /** Headers to relay, as alternating names and values. */
  headers: string[];
}

/** Translates between HTTP headers and the router's types. */
export interface WireCodec {
  /** Returns undefined if a required header is missing or invalid. */
  decodeRequest(
    method: string,
    target: string,
    rawHeaders: readonly string[],
  ): CallerRequest | undefined;
  /** Returns the headers for a server, as alternating names and values. */
  encodeRequest(
    request: CallerRequest,
    instructions: ForwardInstructions,
  ): string[];
  /** Decodes the head of a server's response. */
  decodeResponse(rawHeaders: readonly string[]): ResponseHead;
}

/** Head of a response that has not arrived. */
export const emptyResponseHead: ResponseHead = {
  isNotExecuted: false,
  isSigned: false,
  isEncoded: false,
  isLeaving: false,
  isUnframed: false,
  headers: [],
};
