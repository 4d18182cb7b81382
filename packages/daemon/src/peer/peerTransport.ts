/**
 * @fileoverview Signs, counts and sends tRPC calls over undici.
 */
import {type Dispatcher, request as sendRequest} from 'undici';

import {callIdHeader, type Clock} from '@dogwoodtrestle/runtime';
import {type Metrics} from '../util/metrics.js';
import {
  peerHeader,
  type PeerCredentials,
  signCall,
} from './peerAuthentication.js';
import {PeerRejectedError, type PeerRejection} from './peerErrors.js';

/** Dependencies of the transport. */
export interface PeerTransportOptions {
  credentials: PeerCredentials;
  dispatcher: Dispatcher;
  clock: Clock;
  metrics: Metrics;
}

/** The parts of a fetch request that tRPC's HTTP link sets. */
interface FetchInit {
  method?: string;
  body?: unknown;
  signal?: AbortSignal | null;
}

/** The part of a fetch response that tRPC's HTTP link reads. */
interface FetchResponse {
  ok: boolean;
  json(): Promise<unknown>;
}

/**
 * Creates a `fetch` function for tRPC's HTTP link that signs and counts calls.
 *
 * It uses undici's `request`, which has less overhead than undici's `fetch`. It
 * rejects with PeerRejectedError if the response has status 401, and with another
 * error if it is that to another call.
 */
export function createPeerFetch(
  options: PeerTransportOptions,
): (url: unknown, init?: FetchInit) => Promise<FetchResponse> {
  const {credentials, dispatcher, clock, metrics} = options;
  let calls = 0;
  return async (url, init = {}) => {
    const callId = (++calls).toString(36);
    const target = new URL(String(url));
    const body = typeof init.body === 'string' ? init.body : '';
    const path = target.pathname + target.search;
    const response = await sendRequest(target, {
      method: 'POST',
      dispatcher,
      body,
      signal: init.signal ?? undefined,
      headers: {
        'content-type': 'application/json',
        [callIdHeader]: callId,
        [peerHeader]: signCall(credentials, {
          path,
          body,
          time: clock.wallNow(),
        }),
      },
    });
    const text = await response.body.text();
    const tags = {call: target.pathname.split('/').pop() ?? ''};
    metrics.increment('peer.calls', 1, tags);
    metrics.increment('peer.sent_bytes', body.length, tags);
    metrics.increment('peer.received_bytes', text.length, tags);
    // Instances of earlier versions don't return the id.
    if ((response.headers[callIdHeader] ?? callId) !== callId) {
      throw new Error('reply to another call');
    }
    if (response.statusCode === 401) throw parseRejection(text);
    return {
      ok: response.statusCode < 300,
      json: () => Promise.resolve(JSON.parse(text) as unknown),
    };
  };
}

function parseRejection(text: string): Error {
  const {error} = JSON.parse(text) as {
    error: {code: PeerRejection; message: string};
  };
  return new PeerRejectedError(error.message, {props: {code: error.code}});
}
