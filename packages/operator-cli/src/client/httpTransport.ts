/**
 * @fileoverview Sends calls of the operator API over HTTP, trying a list of
 * daemons in order until one responds.
 */
import {Agent, type Dispatcher, request} from 'undici';

import {
  OutcomeUnknownError,
  RefusedError,
  UnreachableError,
} from '../errors.js';

/** Daemons to call, and the credentials and time limit of calls. */
export interface TransportOptions {
  /** Base URLs of daemons, tried in order. */
  urls: readonly string[];
  /** Operator key; missing where none is needed. */
  key?: string;
  /** Time limit for the response of one daemon. */
  timeoutMilliseconds: number;
}

/** A call of the operator API. */
export interface ApiCall {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
  /**
   * Whether a value is the result of the call, whatever its status. By default
   * each value with a status below 300 is one.
   */
  isResult?: (value: unknown) => boolean;
}

/** A result, and what is known of earlier attempts of the call. */
export interface ApiReply {
  value: unknown;
  /** Reasons of failed attempts, one of which may have made the change. */
  unknownAttempts: readonly string[];
}

interface ApiError {
  code?: string;
  message?: string;
  outcome?: 'notSent' | 'unknown';
}

type Attempt =
  | {kind: 'answered'; value: unknown}
  | {kind: 'refused'; status: number; error: ApiError}
  | {kind: 'failed'; reason: string; mayHaveRun: boolean};

/** Most bytes of a response; a configuration has up to 32 MiB. */
const maxResponseBytes = 64 * 1024 * 1024;

const dispatcher = new Agent({maxResponseSize: maxResponseBytes});

/** Error codes of connections that failed before a call was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Sends calls, and tries the next daemon when one fails. */
export class HttpTransport {
  constructor(private readonly options: TransportOptions) {}

  /** Returns the value of the first response; see `exchange`. */
  async send(call: ApiCall): Promise<unknown> {
    return (await this.exchange(call)).value;
  }

  /**
   * Returns the first response.
   *
   * @throws {RefusedError} A daemon refused the call (status below 500), and no
   *     earlier one may have made a change.
   * @throws {UnreachableError} Every daemon failed, and the call had no effect.
   * @throws {OutcomeUnknownError} No daemon confirmed a change that may have
   *     been made.
   */
  async exchange(call: ApiCall): Promise<ApiReply> {
    const failures: string[] = [];
    let mayHaveRun = false;
    for (const url of this.options.urls) {
      const attempt = await this.attempt(url, call);
      if (attempt.kind === 'answered') {
        const {value} = attempt;
        return {value, unknownAttempts: mayHaveRun ? failures : []};
      }
      if (attempt.kind === 'refused') {
        const refusal = createRefusedError(url, attempt);
        // It tells nothing of what an earlier daemon did.
        if (!mayHaveRun) throw refusal;
        failures.push(refusal.message);
        break;
      }
      failures.push(`${url}: ${attempt.reason}`);
      mayHaveRun ||= attempt.mayHaveRun && call.method !== 'GET';
    }
    const reasons = failures.join('\n  ');
    if (mayHaveRun) {
      throw new OutcomeUnknownError(
        `the change may have been made, but no daemon confirmed it:\n  ${reasons}`,
      );
    }
    throw new UnreachableError(`no daemon answered:\n  ${reasons}`);
  }

  /** Sends a call to one daemon; see `send`. */
  async sendTo(url: string, call: ApiCall): Promise<unknown> {
    return new HttpTransport({...this.options, urls: [url]}).send(call);
  }

  private async attempt(url: string, call: ApiCall): Promise<Attempt> {
    try {
      const response = await request(new URL(call.path, url), {
        dispatcher,
        method: call.method,
        headers: {
          ...(this.options.key !== undefined && {
            authorization: `Bearer ${this.options.key}`,
          }),
          ...(call.body === undefined
            ? {}
            : {'content-type': 'application/json'}),
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: AbortSignal.timeout(this.options.timeoutMilliseconds),
      });
      const text = await response.body.text();
      return parseResponse(response.statusCode, text, call);
    } catch (error) {
      return toFailure(error);
    }
  }
}

function parseResponse(
  status: number,
  text: string,
  {isResult}: ApiCall,
): Attempt {
  const value = parseJson(text);
  if (isResult === undefined ? status < 300 : isResult(value)) {
    return {kind: 'answered', value};
  }
  if (isChangeResult(value)) return {kind: 'answered', value};
  const error = errorOf(value);
  if (status >= 400 && status < 500) return {kind: 'refused', status, error};
  return {
    kind: 'failed',
    reason: [status, error.code, error.message]
      .filter(part => part !== undefined)
      .join(' '),
    mayHaveRun: error.outcome !== 'notSent',
  };
}

/** Returns the error of a body, of whatever form. */
function errorOf(value: unknown): ApiError {
  const {error, reason} = (value ?? {}) as {
    error?: ApiError | string;
    reason?: string;
  };
  if (typeof error === 'object') return error;
  return {message: error ?? reason};
}

/**
 * Whether a body is the result of a change. Rejected changes have a 4xx status
 * and still are results.
 */
function isChangeResult(value: unknown): boolean {
  return (value as {kind?: string} | undefined)?.kind === 'change';
}

function toFailure(error: unknown): Attempt {
  const {code, message} = error as {code?: string; message?: string};
  return {
    kind: 'failed',
    reason: code ?? message ?? String(error),
    mayHaveRun: code === undefined || !notSentCodes.has(code),
  };
}

function createRefusedError(
  url: string,
  {status, error}: {status: number; error: ApiError},
): Error {
  const {code = 'error', message = ''} = error;
  return new RefusedError(`${url} answered ${status} ${code}: ${message}`, {
    props: {status},
  });
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
