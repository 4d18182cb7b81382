/**
 * @fileoverview HTTP client for services: makes calls and reads back their
 * outcomes.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type CallPattern, type StoredAnswer} from '@dogwoodtrestle/schema';
import {type Dispatcher} from 'undici';

import {parseReadBack, type ReadBack} from '../util/readBack.js';
import {attemptError, toAttemptError} from './attemptError.js';
import {addressOf, bodyOf, readBody} from './backendHttp.js';
import {discard} from './discard.js';

/** A call to a service. */
export interface ServiceCall {
  backend: BackendEntry;
  attemptId: string;
  method: string;
  /** Path and query below the service's base URL. */
  path: string;
  contentType?: string;
  body: Buffer;
  traceparent: string;
  signal: AbortSignal;
}

/** Largest response body of a service, in bytes. */
const maximumAnswerBytes = 1048576;

/** Timeout of one read-back, in milliseconds. */
const readBackTimeoutMilliseconds = 2000;

/** Options of `ServiceClient`. */
export interface ServiceClientOptions {
  dispatcher: Dispatcher;
  /** Dispatcher whose connections carry one call each. */
  unkept: Dispatcher;
  /** Timeout for the response head and between two parts of a body. */
  idleMilliseconds: number;
  /** Called for each response with another attempt's ID. */
  onAttemptMismatch: () => void;
}

/** Calls services over HTTP. */
export class ServiceClient {
  constructor(private readonly options: ServiceClientOptions) {}

  /**
   * Makes a call.
   *
   * @throws AttemptError whose `sent` tells whether the service may have
   *     received the call.
   */
  async call(call: ServiceCall): Promise<StoredAnswer> {
    const {origin, base} = addressOf(call.backend);
    let response: Dispatcher.ResponseData;
    try {
      response = await this.options.dispatcher.request({
        origin,
        path: `${base}${call.path}`,
        method: call.method,
        headers: {
          'x-attempt-id': call.attemptId,
          traceparent: call.traceparent,
          ...(call.contentType === undefined
            ? {}
            : {'content-type': call.contentType}),
        },
        body: call.body.length > 0 ? call.body : undefined,
        headersTimeout: this.options.idleMilliseconds,
        bodyTimeout: this.options.idleMilliseconds,
        signal: call.signal,
      });
    } catch (error) {
      throw toAttemptError(error);
    }
    if (response.headers['x-attempt-id'] !== call.attemptId) {
      this.options.onAttemptMismatch();
      discard(response.body);
      throw attemptError('crossed', {sent: true});
    }
    const {statusCode: status} = response;
    if (status >= 600) {
      // HTTP has no such status: the service is in trouble.
      discard(response.body);
      throw attemptError('status', {sent: true, status});
    }
    return {
      status,
      contentType: String(
        response.headers['content-type'] ?? 'application/octet-stream',
      ),
      body: await readBody(
        bodyOf(response, this.options.onAttemptMismatch),
        maximumAnswerBytes,
      ),
    };
  }

  /** Asks a service for the outcome of an attempt; `unknown` after an error. */
  async readBack(backend: BackendEntry, attemptId: string): Promise<ReadBack> {
    const template = backend.announcement.service?.readBackPath;
    if (template === undefined) return {outcome: 'unknown'};
    const {origin, base} = addressOf(backend);
    try {
      // Outcomes don't tell of which attempt they are.
      const response = await this.options.unkept.request({
        origin,
        path: `${base}${template.replace('{attempt}', encodeURIComponent(attemptId))}`,
        method: 'GET',
        signal: AbortSignal.timeout(readBackTimeoutMilliseconds),
      });
      const text = await readBody(response.body, maximumAnswerBytes);
      if (response.statusCode !== 200) return {outcome: 'unknown'};
      return parseReadBack(JSON.parse(text));
    } catch {
      return {outcome: 'unknown'};
    }
  }
}

/** Whether a call matches one of a service's patterns of non-idempotent calls. */
export function isNonIdempotent(
  patterns: readonly CallPattern[],
  method: string,
  path: string,
): boolean {
  const [pathname = path] = path.split('?');
  return patterns.some(
    pattern => pattern.method === method && matchesPath(pattern.path, pathname),
  );
}

function matchesPath(pattern: string, path: string): boolean {
  const normalized = normalizePath(path);
  return pattern.endsWith('*')
    ? normalized.startsWith(normalizePath(pattern.slice(0, -1)))
    : normalized === normalizePath(pattern);
}

/**
 * Returns a canonical form of a path, so that equivalent spellings match the
 * same pattern.
 */
function normalizePath(path: string): string {
  let decoded = path;
  try {
    decoded = decodeURIComponent(path);
  } catch {
    // A path with a malformed escape is compared without decoding.
  }
  const normalized = decoded.replace(/\/{2,}/g, '/').toLowerCase();
  return normalized.length > 1 ? normalized.replace(/\/$/, '') : normalized;
}
