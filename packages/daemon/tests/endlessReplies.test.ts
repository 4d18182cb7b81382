/**
 * @fileoverview Servers and instances that answer the daemon's calls without end.
 * Each call must be given up after a bounded number of bytes.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {BackendDirectory} from '@dogwoodtrestle/routing';
import {systemClock} from '@dogwoodtrestle/runtime';
import {createParser} from '@dogwoodtrestle/schema';
import {endlessBodies, EndlessServer} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {BackendOutcomeClient} from '../src/ledgerHost/backendOutcomeClient.js';
import {CleanUps} from './fixtures.js';

/**
 * Bytes that a peer can send before its connection is closed: the longest answer,
 * and what the system's buffers take.
 */
const maxSentBytes = 32 * 1024 * 1024;

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

async function startServer(name: string): Promise<EndlessServer> {
  const server = await EndlessServer.start(endlessBodies[name]!);
  cleanUps.add(async () => server.close());
  return server;
}

const names = Object.keys(endlessBodies);

describe('the outcome of an abandoned request', () => {
  // Guards against a daemon that keeps what a faulty server reports without end, until
  // its memory is used up (issue 60).
  it.each(names)('is unknown if a server reports %s', async name => {
    const server = await startServer(name);
    const directory = new BackendDirectory();
    directory.observe(
      createParser('Announcement')({
        name: 's-1',
        incarnation: 1,
        sequence: 1,
        state: 'serving',
        url: `http://${server.address}`,
        failureDomain: 'd',
        kind: 'model',
        models: [{name: 'summary'}],
        features: {attemptReport: true},
      }),
      systemClock.now(),
    );
    const client = new BackendOutcomeClient({
      directory,
      attemptIds: () => ['r1.1'],
      clock: systemClock,
    });
    const target = {kind: 'model', name: 'summary'};
    const request = {target} as OpenRequestRecord;
    expect(await client.fetchOutcome(request)).toEqual({kind: 'unknown'});
    expect(server.sentBytes).toBeLessThan(maxSentBytes);
  });
});
