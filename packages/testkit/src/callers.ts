/** @fileoverview Calls as a caller of the routers makes them. */
import {request} from 'undici';

/** What a caller got. */
export interface CallerResponse {
  /** HTTP status, or 0 where the connection failed. */
  status: number;
  requestId: string;
  traceId: string;
  body: string;
  /** Text of a chat answer. */
  text: string;
  /** Whether a stream came to its end. */
  finished: boolean;
  error?: CallerError;
}

/** Error in the protocol's shape. */
export interface CallerError {
  code: string;
  message: string;
  didNotRun: boolean | 'unknown';
}

/** One call. */
export interface CallOptions {
  /** Base URL of a router. */
  url: string;
  path: string;
  method?: 'GET' | 'POST';
  /** Bearer key of a workspace. */
  key: string;
  idempotencyKey?: string;
  body?: unknown;
  timeoutMilliseconds?: number;
}

/** A chat with one user message. */
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

/** Makes a call; a failed connection is an answer with the status 0. */
export async function call(options: CallOptions): Promise<CallerResponse> {
  const {body, idempotencyKey, key} = options;
  const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
  let received = '';
  let head = {status: 0, requestId: '', traceId: ''};
  try {
    const answer = await request(options.url + options.path, {
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
      status: answer.statusCode,
      requestId: String(answer.headers['x-request-id'] ?? ''),
      traceId: String(answer.headers['traceparent'] ?? '').split('-')[1] ?? '',
    };
    for await (const part of answer.body) received += String(part);
    return {...head, ...readBody(received)};
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return {
      ...head,
      ...readBody(received),
      finished: false,
      error: {code: 'connectionFailed', message, didNotRun: 'unknown'},
    };
  }
}

/** Makes a chat call. */
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

function readBody(
  body: string,
): Pick<CallerResponse, 'body' | 'text' | 'finished' | 'error'> {
  const events = body.match(/^data: .*$/gm);
  const messages = (events ?? [body])
    .map(line => line.replace(/^data: /, ''))
    .map(parseMessage);
  const text = messages
    .flatMap(message => message.choices ?? [])
    .map(choice => choice.message?.content ?? choice.delta?.content ?? '')
    .join('');
  const error = messages.find(message => message.error !== undefined)?.error;
  const finished = events === null || events.includes('data: [DONE]');
  return {body, text, finished, ...(error === undefined ? {} : {error})};
}

function parseMessage(text: string): ChatMessage {
  try {
    return JSON.parse(text) as ChatMessage;
  } catch {
    return {};
  }
}
