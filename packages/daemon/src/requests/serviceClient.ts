/**
 * @fileoverview Calls to plain services, and reading back what became of them.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type CallPattern, type StoredAnswer} from '@dogwoodtrestle/schema';
import {type Dispatcher} from 'undici';

import {parseReadBack, type ReadBack} from '../util/readBack.js';
import {attemptError, toAttemptError} from './attemptError.js';
import {addressOf, readBody} from './backendHttp.js';
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

/** Largest answer of a service, in bytes. */
const maximumAnswerBytes = 1048576;

/** Timeout of one read-back, in milliseconds. */
const readBackTimeoutMilliseconds = 2000;

/** Options of `ServiceClient`. */
export interface ServiceClientOptions {
  dispatcher: Dispatcher;
  idleMilliseconds: number;
  onAttemptMismatch: () => void;
}

/** Calls services over HTTP. */
export class ServiceClient {
  constructor(private readonly options: ServiceClientOptions) {}

  /**
   * Makes a call.
   *
   * @throws AttemptError; its `sent` tells whether the service may have got it.
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
    return {
      status: response.statusCode,
      contentType: String(
        response.headers['content-type'] ?? 'application/octet-stream',
      ),
      body: await readBody(response.body, maximumAnswerBytes),
    };
  }

  /** Asks a service what became of an attempt. */
  async readBack(backend: BackendEntry, attemptId: string): Promise<ReadBack> {
    const template = backend.announcement.service?.readBackPath;
    if (template === undefined) return {outcome: 'unknown'};
    const {origin, base} = addressOf(backend);
    try {
      const response = await this.options.dispatcher.request({
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

/** Whether a service says that a call must not be repeated. */
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
  const normal = normalize(path);
  return pattern.endsWith('*')
    ? normal.startsWith(normalize(pattern.slice(0, -1)))
    : normal === normalize(pattern);
}

/** Folds spellings of one path, so that none escapes its pattern. */
function normalize(path: string): string {
  let decoded = path;
  try {
    decoded = decodeURIComponent(path);
  } catch {
    // A malformed escape is compared as it stands.
  }
  const folded = decoded.replace(/\/{2,}/g, '/').toLowerCase();
  return folded.length > 1 ? folded.replace(/\/$/, '') : folded;
}
