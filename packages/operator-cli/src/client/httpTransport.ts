/**
 * @fileoverview Sends one call to the first daemon of a list that answers it.
 */
import {type Dispatcher, request} from 'undici';

import {
  OutcomeUnknownError,
  RefusedError,
  UnreachableError,
} from '../errors.js';

/** How the daemons are reached. */
export interface TransportOptions {
  /** Base URLs of daemons, tried in order. */
  urls: readonly string[];
  /** Operator key. */
  key: string;
  /** Time that one daemon has to answer. */
  timeoutMilliseconds: number;
}

/** A call of the operator API. */
export interface ApiCall {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
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

/** Failures that happen before a call leaves this process. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Sends calls, going on to the next daemon where one can't answer. */
export class HttpTransport {
  constructor(private readonly options: TransportOptions) {}

  /**
   * Returns the first answer.
   *
   * @throws {RefusedError} A daemon answered with an error.
   * @throws {UnreachableError} No daemon answered, and the call had no effect.
   * @throws {OutcomeUnknownError} No daemon answered, and a change may have
   *     been made.
   */
  async send(call: ApiCall): Promise<unknown> {
    const failures: string[] = [];
    let mayHaveRun = false;
    for (const url of this.options.urls) {
      const attempt = await this.attempt(url, call);
      if (attempt.kind === 'answered') return attempt.value;
      if (attempt.kind === 'refused') throw refusedError(url, attempt);
      failures.push(`${url}: ${attempt.reason}`);
      mayHaveRun ||= attempt.mayHaveRun && call.method !== 'GET';
    }
    const reasons = failures.join('\n  ');
    if (mayHaveRun) {
      throw new OutcomeUnknownError(
        `the change may have been made, no answer came:\n  ${reasons}`,
      );
    }
    throw new UnreachableError(`no daemon answered:\n  ${reasons}`);
  }

  /** Sends a call to one daemon and returns the JSON of any 2xx answer. */
  async sendTo(url: string, call: ApiCall): Promise<unknown> {
    return new HttpTransport({...this.options, urls: [url]}).send(call);
  }

  private async attempt(url: string, call: ApiCall): Promise<Attempt> {
    try {
      const answer = await request(new URL(call.path, url), {
        method: call.method,
        headers: {
          authorization: `Bearer ${this.options.key}`,
          ...(call.body === undefined
            ? {}
            : {'content-type': 'application/json'}),
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: AbortSignal.timeout(this.options.timeoutMilliseconds),
      });
      return readAnswer(answer.statusCode, await answer.body.text());
    } catch (error) {
      return failureOf(error);
    }
  }
}

function readAnswer(status: number, text: string): Attempt {
  const value = parseJson(text);
  if (status < 300 || isChange(value)) return {kind: 'answered', value};
  const error = (value as {error?: ApiError} | undefined)?.error ?? {};
  if (status < 500) return {kind: 'refused', status, error};
  return {
    kind: 'failed',
    reason: `${status} ${error.code ?? ''} ${error.message ?? ''}`.trim(),
    mayHaveRun: error.outcome !== 'notSent',
  };
}

/** Whether a body is the outcome of a change, which a rejected one is too. */
function isChange(value: unknown): boolean {
  return (value as {kind?: string} | undefined)?.kind === 'change';
}

function failureOf(error: unknown): Attempt {
  const {code, message} = error as {code?: string; message?: string};
  return {
    kind: 'failed',
    reason: code ?? message ?? String(error),
    mayHaveRun: code === undefined || !notSentCodes.has(code),
  };
}

function refusedError(
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
