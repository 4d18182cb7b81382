/**
 * @fileoverview A caller's HTTP request, independent of the HTTP library.
 */
import {type IncomingHttpHeaders} from 'node:http';

import {refusal} from './refusal.js';

/** Method, headers and body of a request. */
export class IncomingRequest {
  constructor(
    readonly method: string,
    readonly headers: IncomingHttpHeaders,
    readonly body: Buffer,
  ) {}

  /**
   * Parses the body as JSON.
   *
   * @throws RefusalError if the content type is not JSON or the body is not
   *     valid JSON.
   */
  json(): unknown {
    const [type = ''] = (this.headers['content-type'] ?? '').split(';');
    if (type.trim().toLowerCase() !== 'application/json') {
      throw refusal('unsupportedMediaType');
    }
    try {
      return JSON.parse(this.body.toString('utf8')) as unknown;
    } catch (error) {
      throw refusal('invalidJson', {
        message: `The body is not valid JSON: ${(error as Error).message}`,
      });
    }
  }
}
