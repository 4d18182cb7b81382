/**
 * @fileoverview HTTP client for model engines.
 *
 * Every call carries the ID of its attempt, which the engine returns in a
 * response header and in each chunk. Responses and chunks with another ID are
 * dropped and counted, so that no response reaches the wrong caller.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type Usage} from '@dogwoodtrestle/schema';
import {createParser} from 'eventsource-parser';
import {type Dispatcher} from 'undici';

import {attemptError, toAttemptError} from './attemptError.js';
import {addressOf, bodyOf, readBody} from './backendHttp.js';
import {discard} from './discard.js';

/** A chunk of a streamed chat response, as the engine sent it. */
export interface ChatChunk extends Record<string, unknown> {
  id?: string;
  choices?: {
    delta?: {content?: string | null; role?: string; tool_calls?: unknown[]};
    finish_reason?: string | null;
  }[];
  usage?: EngineUsage | null;
}

/** Token usage in the format of the OpenAI protocol. */
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

/** Largest length of one event, in characters. */
const maximumEventLength = 1048576;

/** Largest body of a response that is not streamed, in bytes. */
const maximumAnswerBytes = 16777216;

/** Timeout of report and cancel calls for an attempt, in milliseconds. */
const attemptCallTimeoutMilliseconds = 2000;

/** Options of `ModelClient`. */
export interface ModelClientOptions {
  dispatcher: Dispatcher;
  /** Dispatcher whose connections carry one call each. */
  unkept: Dispatcher;
  /** Timeout for the response head and between two parts of a body. */
  idleMilliseconds: number;
  /** Called for each response or chunk with another attempt's ID. */
  onAttemptMismatch: () => void;
}

/** Calls model engines by the OpenAI protocol. */
export class ModelClient {
  constructor(private readonly options: ModelClientOptions) {}

  /**
   * Runs a chat request without streaming. Its response comes at once when all of
   * it is generated, so an engine that reports the attempt as running isn't idle.
   *
   * @throws AttemptError if there is no complete response for this attempt.
   */
  async complete(call: ModelCall): Promise<Record<string, unknown>> {
    const {attemptReport} = call.backend.announcement.features;
    const response = attemptReport
      ? await this.postWhileRunning(call)
      : await this.post(call);
    const text = await readBody(this.bodyOf(response), maximumAnswerBytes);
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
   * Runs a chat request with a streamed response. The generator ends normally
   * only after the `[DONE]` event.
   *
   * @throws AttemptError if the stream fails or ends early.
   */
  async *stream(call: ModelCall): AsyncGenerator<ChatChunk, void, void> {
    const response = await this.post(call);
    yield* this.readChunks(call.attemptId, response);
  }

  /**
   * Resumes the stream of an attempt.
   *
   * @param after Number of chunks with content that were received before.
   */
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
    this.checkAttemptId(response, attemptId);
    yield* this.readChunks(attemptId, response);
  }

  /** Returns the state and usage of an attempt, if the engine reports them. */
  async report(
    backend: BackendEntry,
    attemptId: string,
  ): Promise<{state: string; usage?: EngineUsage} | undefined> {
    try {
      const call = {
        path: `/v1/attempts/${encodeURIComponent(attemptId)}`,
        method: 'GET',
        signal: AbortSignal.timeout(attemptCallTimeoutMilliseconds),
      } as const;
      // Reports don't tell of which attempt they are.
      const {unkept} = this.options;
      const response = await this.request(backend, call, unkept);
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

  /** Cancels an attempt if the engine supports that; ignores errors. */
  async cancel(backend: BackendEntry, attemptId: string): Promise<void> {
    if (!backend.announcement.features.cancel) return;
    try {
      const response = await this.request(backend, {
        path: `/v1/attempts/${encodeURIComponent(attemptId)}`,
        method: 'DELETE',
        signal: AbortSignal.timeout(attemptCallTimeoutMilliseconds),
      });
      await response.body.dump();
    } catch {
      // The engine ends the attempt when its stream is closed.
    }
  }

  /** Waits for the head of a response for as long as its engine is at work. */
  private async postWhileRunning(
    call: ModelCall,
  ): Promise<Dispatcher.ResponseData> {
    const silence = new AbortController();
    let hasFinished = false;
    let hasHead = false;
    const check = async () => {
      const report = await this.report(call.backend, call.attemptId);
      if (hasHead || report?.state === 'running') return;
      // The head may be on its way.
      if (report?.state === 'finished' && !hasFinished) hasFinished = true;
      else silence.abort();
    };
    const {idleMilliseconds} = this.options;
    const timer = setInterval(() => void check(), idleMilliseconds);
    const signal = AbortSignal.any([call.signal, silence.signal]);
    try {
      const response = await this.post({...call, signal}, {headersTimeout: 0});
      hasHead = true;
      return response;
    } catch (error) {
      if (!silence.signal.aborted || call.signal.aborted) throw error;
      throw attemptError('idle', {sent: true, cause: error});
    } finally {
      clearInterval(timer);
    }
  }

  private async post(
    call: ModelCall,
    timeouts: Pick<Dispatcher.RequestOptions, 'headersTimeout'> = {},
  ): Promise<Dispatcher.ResponseData> {
    const response = await this.request(call.backend, {
      ...timeouts,
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
    const {statusCode} = response;
    // An error without an id may be that of another call, once more.
    const isAnonymous = response.headers['x-attempt-id'] === undefined;
    if (statusCode !== 200 && isAnonymous) {
      discard(response.body);
      throw attemptError('status', {sent: true, status: statusCode});
    }
    this.checkAttemptId(response, call.attemptId);
    if (statusCode !== 200) {
      const body = await readBody(
        this.bodyOf(response),
        maximumAnswerBytes,
      ).catch(() => '');
      const isClientError =
        statusCode >= 400 && statusCode < 429 && statusCode !== 408;
      throw attemptError(isClientError ? 'rejected' : 'status', {
        sent: true,
        status: statusCode,
        body,
      });
    }
    return response;
  }

  private checkAttemptId(
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
    dispatcher = this.options.dispatcher,
  ): Promise<Dispatcher.ResponseData> {
    const {origin, base} = addressOf(backend);
    try {
      return await dispatcher.request({
        headersTimeout: this.options.idleMilliseconds,
        bodyTimeout: this.options.idleMilliseconds,
        ...options,
        origin,
        path: `${base}${options.path}`,
      });
    } catch (error) {
      throw toAttemptError(error);
    }
  }

  private bodyOf(response: Dispatcher.ResponseData): AsyncIterable<Buffer> {
    return bodyOf(response, this.options.onAttemptMismatch);
  }

  private async *readChunks(
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
      for await (const bytes of this.bodyOf(response)) {
        parser.feed(decoder.decode(bytes, {stream: true}));
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

/** Converts usage from the OpenAI format to that of the ledger. */
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
