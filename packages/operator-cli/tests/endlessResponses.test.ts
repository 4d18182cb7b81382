/**
 * @fileoverview Something that answers a command's calls without end. The command must
 * fail after a bounded number of bytes.
 */
import {endlessBodies, EndlessServer} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {HttpTransport} from '../src/client/httpTransport.js';

/** Bytes that a peer can send: the longest response and the system's buffers. */
const maxSentBytes = 192 * 1024 * 1024;

let server: EndlessServer | undefined;

afterEach(() => server?.close());

describe('a call of the operator', () => {
  // Guards against a command that keeps bytes without end until its time limit, or until
  // its memory is used up (issue 60).
  it.each(Object.entries(endlessBodies))('fails after %s', async (_, bytes) => {
    server = await EndlessServer.start(bytes);
    const transport = new HttpTransport({
      urls: [`http://${server.address}`],
      timeoutMilliseconds: 4_000,
    });
    const call = transport.send({method: 'GET', path: '/'});
    await expect(call).rejects.toThrow('no daemon answered');
    expect(server.sentBytes).toBeLessThan(maxSentBytes);
  });
});
