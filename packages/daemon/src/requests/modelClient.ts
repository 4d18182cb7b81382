/**
 * @fileoverview Calls to model engines.
 *
 * Every call names its attempt, and the engine echoes that name in the
 * answer's head and in each chunk. Anything that carries another name is
 * dropped and counted, so that an answer never reaches the wrong caller.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type Usage} from '@dogwoodtrestle/schema';
import {createParser} from 'eventsource-parser';
import {type Dispatcher} from 'undici';

import {attemptError, toAttemptError} from './attemptError.js';
import {addressOf, readBody} from './backendHttp.js';
import {discard} from './discard.js';

/** A chunk of a chat answer, as the engine sent it. */
export interface ChatChunk extends Record<string, unknown> {
  id?: string;
  choices?: {
    delta?: {content?: string | null; role?: string; tool_calls?: unknown[]};
    finish_reason?: string | null;
  }[];
  usage?: EngineUsage | null;
}

/** Usage in the words of the engines' protocol. */
export interface EngineUsage {
  prompt_tokens: number;
  completion_tokens: number;
}

/** One attempt at an engine. */
export interface ModelCall {
  backend: BackendEntry;
  attemptId: string;
  body: Record<string, unknown>;
  priority: string;
  traceparent: string;
  signal: AbortSignal;
}

/** Longest text of one event, in characters. */
const maximumEventLength = 1048576;

/** Longest body of an answer that is not a stream, in bytes. */
const maximumAnswerBytes = 16777216;

/** Timeout of calls about an attempt, in milliseconds. */
const sideCallTimeoutMilliseconds = 2000;

/** Options of `ModelClient`. */
export interface ModelClientOptions {
  dispatcher: Dispatcher;
  idleMilliseconds: number;
  /** Called for each message with another attempt's id. */
  onAttemptMismatch: () => void;
}

/** Calls model engines by the OpenAI protocol. */
export class ModelClient {
  constructor(private readonly options: ModelClientOptions) {}

  /** Runs a chat request whose answer is one JSON value. */
  async complete(call: ModelCall): Promise<Record<string, unknown>> {
    const response = await this.post(call);
    const text = await readBody(response.body, maximumAnswerBytes);
    let answer: Record<string, unknown>;
    try {
      answer = JSON.parse(text) as Record<string, unknown>;
    } catch (error) {
      throw attemptError('badPayload', {sent: true, cause: error});
    }
    if (answer['id'] !== call.attemptId) {
      this.options.onAttemptMismatch();
      throw attemptError('crossed', {sent: true});
    }
    return answer;
  }

  /**
   * Runs a chat request whose answer is a stream.
   *
   * Ends normally only after the stream's terminator.
   */
  async *stream(call: ModelCall): AsyncGenerator<ChatChunk, void, void> {
    const response = await this.post(call);
    yield* this.chunks(call.attemptId, response);
  }

  /** Resumes a stream behind its first chunks. */
  async *resume(
    call: ModelCall,
    after: number,
  ): AsyncGenerator<ChatChunk, void, void> {
    const {backend, attemptId, signal, traceparent} = call;
    const path = `/v1/attempts/${encodeURIComponent(attemptId)}/stream?after=${after}`;
    const response = await this.request(backend, {
      path,
      method: 'GET',
      headers: {traceparent},
      signal,
    });
    this.checkHead(response, attemptId);
    yield* this.chunks(attemptId, response);
  }

  /** Asks what became of an attempt. */
  async report(
    backend: BackendEntry,
    attemptId: string,
  ): Promise<{state: string; usage?: EngineUsage} | undefined> {
    try {
      const response = await this.request(backend, {
        path: `/v1/attempts/${encodeURIComponent(attemptId)}`,
        method: 'GET',
        signal: AbortSignal.timeout(sideCallTimeoutMilliseconds),
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return undefined;
      }
      return JSON.parse(await readBody(response.body, maximumAnswerBytes)) as {
        state: string;
        usage?: EngineUsage;
      };
    } catch {
      return undefined;
    }
  }

  /** Cancels an attempt; a failure is of no consequence. */
  async cancel(backend: BackendEntry, attemptId: string): Promise<void> {
    if (!backend.announcement.features.cancel) return;
    try {
      const response = await this.request(backend, {
        path: `/v1/attempts/${encodeURIComponent(attemptId)}`,
        method: 'DELETE',
        signal: AbortSignal.timeout(sideCallTimeoutMilliseconds),
      });
      await response.body.dump();
    } catch {
      // The engine ends the attempt by itself when its stream is closed.
    }
  }

  private async post(call: ModelCall): Promise<Dispatcher.ResponseData> {
    const response = await this.request(call.backend, {
      path: '/v1/chat/completions',
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-attempt-id': call.attemptId,
        'x-priority': call.priority,
        traceparent: call.traceparent,
      },
      body: JSON.stringify(call.body),
      signal: call.signal,
    });
    if (response.statusCode !== 200) {
      const {statusCode} = response;
      const body = await readBody(response.body, maximumAnswerBytes).catch(
        () => '',
      );
      const isCallersFault =
        statusCode >= 400 && statusCode < 429 && statusCode !== 408;
      throw attemptError(isCallersFault ? 'rejected' : 'status', {
        sent: true,
        status: statusCode,
        body,
      });
    }
    this.checkHead(response, call.attemptId);
    return response;
  }

  private checkHead(
    response: Dispatcher.ResponseData,
    attemptId: string,
  ): void {
    if (response.headers['x-attempt-id'] === attemptId) return;
    this.options.onAttemptMismatch();
    discard(response.body);
    throw attemptError('crossed', {sent: true});
  }

  private async request(
    backend: BackendEntry,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<Dispatcher.ResponseData> {
    const {origin, base} = addressOf(backend);
    try {
      return await this.options.dispatcher.request({
        ...options,
        origin,
        path: `${base}${options.path}`,
        headersTimeout: this.options.idleMilliseconds,
        bodyTimeout: this.options.idleMilliseconds,
      });
    } catch (error) {
      throw toAttemptError(error);
    }
  }

  private async *chunks(
    attemptId: string,
    response: Dispatcher.ResponseData,
  ): AsyncGenerator<ChatChunk, void, void> {
    const queue: string[] = [];
    const parser = createParser({
      onEvent: event => {
        queue.push(event.data);
      },
      maxBufferSize: maximumEventLength,
    });
    const decoder = new TextDecoder();
    try {
      for await (const bytes of response.body) {
        parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
        for (const data of queue.splice(0)) {
          if (data === '[DONE]') return;
          const chunk = this.parseChunk(data, attemptId);
          if (chunk !== undefined) yield chunk;
        }
      }
    } catch (error) {
      const {name} = error as {name?: string};
      if (name === 'BodyTimeoutError') {
        throw attemptError('idle', {sent: true, cause: error});
      }
      throw toAttemptError(error);
    }
    throw attemptError('noTerminator', {sent: true});
  }

  private parseChunk(data: string, attemptId: string): ChatChunk | undefined {
    let chunk: ChatChunk;
    try {
      chunk = JSON.parse(data) as ChatChunk;
    } catch (error) {
      throw attemptError('badPayload', {sent: true, cause: error});
    }
    if (chunk.id === attemptId) return chunk;
    this.options.onAttemptMismatch();
    return undefined;
  }
}

/** Converts an engine's usage to the ledger's. */
export function usageOf(
  usage: EngineUsage | null | undefined,
): Usage | undefined {
  return usage == null
    ? undefined
    : {
        inputTokens: usage.prompt_tokens,
        outputTokens: usage.completion_tokens,
      };
}
