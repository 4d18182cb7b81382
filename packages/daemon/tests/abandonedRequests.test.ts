import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {BackendDirectory} from '@dogwoodtrestle/routing';
import {type Command, createParser} from '@dogwoodtrestle/schema';
import {fastify} from 'fastify';
import {afterEach, describe, expect, it} from 'vitest';

import {
  AbandonedRequestSettler,
  type AbandonedRequestSettlerOptions,
  type BackendOutcome,
} from '../src/ledgerHost/abandonedRequestSettler.js';
import {BackendOutcomeClient} from '../src/ledgerHost/backendOutcomeClient.js';
import {systemClock} from '@dogwoodtrestle/runtime';
import {CleanUps} from './fixtures.js';

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

function requestOf(
  changes: Partial<OpenRequestRecord> = {},
): OpenRequestRecord {
  return {
    requestKey: 'exchange/desk/r1',
    fingerprint: 'f',
    customer: 'exchange',
    workspace: 'desk',
    target: {kind: 'model', name: 'summary'},
    maximumCost: 100,
    unknownCost: 7,
    contractVersion: 1,
    inputPrice: 1,
    outputPrice: 2,
    holder: 'one#1',
    idempotent: true,
    traceId: 't',
    attempt: 2,
    openedAt: 1000,
    ...changes,
  };
}

async function settledBy(changes: Partial<AbandonedRequestSettlerOptions>) {
  const settled: Command[] = [];
  const abandoned = new AbandonedRequestSettler({
    isLeader: () => true,
    openRequests: () => [requestOf()],
    ledgerTime: () => 11_001,
    holderAddress: () => undefined,
    running: async () => [],
    queryBackends: async () => ({kind: 'unknown'}),
    submit: async command => settled.push(command),
    abandonedAfterMilliseconds: 10_000,
    ...changes,
  });
  await abandoned.runOnce();
  return settled;
}

describe('AbandonedRequestSettler', () => {
  it('bills the unknown cost if no server knows the outcome', async () => {
    expect(await settledBy({})).toMatchObject([
      {
        requestKey: 'exchange/desk/r1',
        attempt: 2,
        cost: 7,
        outcome: 'unknown',
        instance: 'one#1',
        onlyHolder: true,
      },
    ]);
  });

  it('bills what a backend server reports', async () => {
    const queryBackends = async (): Promise<BackendOutcome> => ({
      kind: 'ended',
      outcome: 'completed',
      cost: 31,
      backend: 'server-1',
    });
    expect(await settledBy({queryBackends})).toMatchObject([
      {cost: 31, outcome: 'completed', backend: 'server-1'},
    ]);
  });

  // Guards against a caller that never gets the answer of a call that ran: its
  // router left the request open, and the settlement stored no answer.
  it('stores the answer that a service reports on read-back', async () => {
    const answer = {status: 201, contentType: 'text/plain', body: 'sold'};
    const queryBackends = async (): Promise<BackendOutcome> => ({
      kind: 'ended',
      outcome: 'completed',
      cost: 31,
      answer,
    });
    expect(await settledBy({queryBackends})).toMatchObject([{answer}]);
  });

  it('stores no answer that exceeds the size limit of the ledger', async () => {
    const answer = {status: 201, contentType: 't', body: 'x'.repeat(70_000)};
    const queryBackends = async (): Promise<BackendOutcome> => ({
      kind: 'ended',
      outcome: 'completed',
      cost: 31,
      answer,
    });
    const [settled] = await settledBy({queryBackends});
    expect(settled).not.toHaveProperty('answer');
  });

  const holderAddress = () => 'host:1';
  const keys = ['exchange/desk/r1'];

  it.each<[string, Partial<AbandonedRequestSettlerOptions>, number]>([
    ['younger than the limit', {ledgerTime: () => 10_999}, 0],
    ['seen by a follower', {isLeader: () => false}, 0],
    ['run by its holder', {holderAddress, running: async () => keys}, 0],
    [
      'of a live holder that does not answer',
      {holderAddress, running: () => Promise.reject(new Error('lost'))},
      0,
    ],
    ['not run by its holder', {holderAddress}, 1],
    [
      'still running at a backend server',
      {queryBackends: async () => ({kind: 'running'})},
      0,
    ],
  ])('treats a request %s', async (_name, changes, count) => {
    expect(await settledBy(changes)).toHaveLength(count);
  });
});

describe('BackendOutcomeClient', () => {
  /** Queries two servers, of which only the second one knows the attempt. */
  async function ask(
    kind: 'model' | 'service',
    reply: object,
  ): Promise<BackendOutcome> {
    const directory = new BackendDirectory();
    for (const name of ['first', 'second']) {
      const server = fastify();
      server.get('/*', async (request, response) =>
        name === 'second' && request.url.endsWith('/r1.2')
          ? reply
          : response.code(404).send({}),
      );
      const url = await server.listen({host: '127.0.0.1', port: 0});
      cleanUps.add(() => server.close());
      const offer =
        kind === 'model'
          ? {models: [{name: 'summary'}], features: {attemptReport: true}}
          : {service: {name: 'booking', readBackPath: '/read/{attempt}'}};
      const announcement = createParser('Announcement')({
        name,
        incarnation: 1,
        sequence: 1,
        state: 'serving',
        url,
        failureDomain: 'd',
        kind,
        ...offer,
      });
      directory.observe(announcement, systemClock.now());
    }
    const outcomes = new BackendOutcomeClient({
      directory,
      attemptIds: () => ['r1.1', 'r1.2'],
      clock: systemClock,
    });
    const name = kind === 'model' ? 'summary' : 'booking';
    return outcomes.fetchOutcome(
      requestOf({target: {kind, name}, inputPrice: 5}),
    );
  }

  const usage = {prompt_tokens: 10, completion_tokens: 3};
  const cost = 10 * 5 + 3 * 2;

  it.each<[string, 'model' | 'service', object, object]>([
    ['a finished attempt', 'model', {state: 'finished', usage}, {cost}],
    ['a running attempt', 'model', {state: 'running'}, {kind: 'running'}],
    ['a call that ran', 'service', {outcome: 'ran'}, {cost: 5}],
    [
      'the answer of a call that ran',
      'service',
      {outcome: 'ran', status: 201, contentType: 'a/b', body: 'sold'},
      {answer: {status: 201, contentType: 'a/b', body: 'sold'}},
    ],
    ['a running call', 'service', {outcome: 'running'}, {kind: 'running'}],
    [
      'a call that did not run there',
      'service',
      {outcome: 'didNotRun'},
      {kind: 'unknown'},
    ],
  ])('reports %s', async (_name, kind, reply, expected) => {
    expect(await ask(kind, reply)).toMatchObject(expected);
  });
});
