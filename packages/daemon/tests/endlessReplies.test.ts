/**
 * @fileoverview Servers and instances that answer the daemon's calls without end.
 * Each call must be given up after a bounded number of bytes.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {BackendDirectory} from '@dogwoodtrestle/routing';
import {systemClock} from '@dogwoodtrestle/runtime';
import {createParser} from '@dogwoodtrestle/schema';
import {
  endlessBodies,
  endlessOverheads,
  EndlessServer,
} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {BackendOutcomeClient} from '../src/ledgerHost/backendOutcomeClient.js';
import {derivePeerKey} from '../src/peer/peerAuthentication.js';
import {PeerClient} from '../src/peer/peerClient.js';
import {RequestFixture} from './requests/fixture.js';
import {CleanUps} from './fixtures.js';

/**
 * Bytes that a peer can send before its connection is closed: the longest answer,
 * and what the system's buffers take.
 */
const maxSentBytes = 32 * 1024 * 1024;

/** The same for a reply of another instance. */
const maxSentReplyBytes = 192 * 1024 * 1024;

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

const responses = {...endlessBodies, ...endlessOverheads};

async function startServer(name: string): Promise<EndlessServer> {
  const server = await EndlessServer.start(responses[name]!);
  cleanUps.add(async () => server.close());
  return server;
}

const names = Object.keys(responses);

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

describe('a call of another instance', () => {
  // Guards against a daemon that keeps a reply without end of something else that
  // listens at an instance's address by now (issue 60).
  it.each(names)('fails if it answers with %s', async name => {
    const server = await startServer(name);
    const key = derivePeerKey('shared key');
    const client = new PeerClient({
      credentials: {cluster: 'barley', instance: 'kamloops-1', key},
    });
    cleanUps.add(() => client.stop());
    const call = client.call(server.address, 4_000, (calls, options) =>
      calls.identity.mutate({instance: 'a', address: 'b:1'}, options),
    );
    await expect(call).rejects.toThrow(server.address);
    expect(server.sentBytes).toBeLessThan(maxSentReplyBytes);
  });
});

describe('a call to a service', () => {
  // Guards against a daemon that reads what a faulty service sends without end until
  // the caller's time is over (issue 60).
  it.each(names)('fails if it answers with %s', async name => {
    const server = await startServer(name);
    const fixture = await RequestFixture.start();
    cleanUps.add(() => fixture.stop());
    const service = await fixture.startService();
    await service.stop();
    const {announcement} = fixture.directory.get(service.options.name)!;
    fixture.directory.observe(
      {
        ...announcement,
        url: `http://${server.address}`,
        sequence: announcement.sequence + 1,
      },
      performance.now(),
    );
    const response = await fixture.post('/services/bookings/notes', {
      body: '{"note": "b"}',
    });
    expect(response.status).toBeGreaterThanOrEqual(500);
    expect(server.sentBytes).toBeLessThan(maxSentReplyBytes);
  });
});
