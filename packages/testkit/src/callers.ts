/** @fileoverview HTTP client for the routers' caller API. */
import {request} from 'undici';

/** Response that a caller received, complete or not. */
export interface CallerResponse {
  /** HTTP status; 0 if the connection failed before the headers arrived. */
  status: number;
  requestId: string;
  traceId: string;
  body: string;
  /** Generated text of a chat response. */
  text: string;
  /** Whether a stream ended with `[DONE]`; true for other complete bodies. */
  finished: boolean;
  error?: CallerError;
}

/** Error object of the caller API. */
export interface CallerError {
  code: string;
  message: string;
  didNotRun: boolean | 'unknown';
}

/** Options of one call. */
export interface CallOptions {
  /** Base URL of a router. */
  url: string;
  path: string;
  method?: 'GET' | 'POST';
  /** Bearer token of a workspace. */
  key: string;
  idempotencyKey?: string;
  body?: unknown;
  timeoutMilliseconds?: number;
}

/** Options of a chat completion with one user message. */
export interface ChatOptions {
  url: string;
  key: string;
  model: string;
  prompt: string;
  stream?: boolean;
  maximumTokens?: number;
  idempotencyKey?: string;
}

const defaultTimeoutMilliseconds = 20_000;

/**
 * Sends a request and reads the whole response. Never rejects: a failed
 * connection gives a response with the error code `connectionFailed`.
 */
export async function call(options: CallOptions): Promise<CallerResponse> {
  const {body, idempotencyKey, key} = options;
  const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
  let responseText = '';
  let head = {status: 0, requestId: '', traceId: ''};
  try {
    const response = await request(options.url + options.path, {
      method: options.method ?? 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
        ...(idempotencyKey === undefined
          ? {}
          : {'idempotency-key': idempotencyKey}),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeout),
    });
    head = {
      status: response.statusCode,
      requestId: String(response.headers['x-request-id'] ?? ''),
      traceId:
        String(response.headers['traceparent'] ?? '').split('-')[1] ?? '',
    };
    for await (const chunk of response.body) responseText += String(chunk);
    return {...head, ...parseResponseBody(responseText)};
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return {
      ...head,
      ...parseResponseBody(responseText),
      finished: false,
      error: {code: 'connectionFailed', message, didNotRun: 'unknown'},
    };
  }
}

/** Sends a chat completion request. */
export async function chat(options: ChatOptions): Promise<CallerResponse> {
  const {url, key, idempotencyKey, model, prompt, stream, maximumTokens} =
    options;
  return call({
    url,
    key,
    idempotencyKey,
    path: '/v1/chat/completions',
    body: {
      model,
      messages: [{role: 'user', content: prompt}],
      ...(maximumTokens === undefined ? {} : {max_tokens: maximumTokens}),
      ...(stream === true
        ? {stream: true, stream_options: {include_usage: true}}
        : {}),
    },
  });
}

interface ChatMessage {
  error?: CallerError;
  choices?: Array<{
    message?: {content?: string};
    delta?: {content?: string};
  }>;
}

function parseResponseBody(
  body: string,
): Pick<CallerResponse, 'body' | 'text' | 'finished' | 'error'> {
  const events = body.match(/^data: .*$/gm);
  const messages = (events ?? [body])
    .map(line => line.replace(/^data: /, ''))
    .map(parseChatMessage);
  const text = messages
    .flatMap(message => message.choices ?? [])
    .map(choice => choice.message?.content ?? choice.delta?.content ?? '')
    .join('');
  const error = messages.find(message => message.error !== undefined)?.error;
  const finished = events === null || events.includes('data: [DONE]');
  return {body, text, finished, ...(error === undefined ? {} : {error})};
}

function parseChatMessage(text: string): ChatMessage {
  try {
    return JSON.parse(text) as ChatMessage;
  } catch {
    return {};
  }
}
