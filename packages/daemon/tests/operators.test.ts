import {BackendDirectory} from '@dogwoodtrestle/routing';
import {
  type ChangeResult,
  type Command,
  type Finding,
} from '@dogwoodtrestle/schema';
import {fastify} from 'fastify';
import {describe, expect, it} from 'vitest';

import {QuorumUnreachableError} from '../src/ledgerClient/quorumUnreachableError.js';
import {createAnnouncementRoutes} from '../src/membership/announcementRoutes.js';
import {Membership} from '../src/membership/membership.js';
import {createOperatorRoutes} from '../src/operators/operatorRoutes.js';
import {contractOf, settingsOf} from './fixtures.js';

type State = ChangeResult['state'] | 'lost';

/** Serves the operator API with a ledger that responds with a given state. */
async function serve(state: State = 'accepted', operatorKey?: string) {
  const commands: Command[] = [];
  const lost = new QuorumUnreachableError('cut', {props: {outcome: 'unknown'}});
  const server = fastify();
  await server.register(
    createOperatorRoutes({
      operatorKey,
      ledgerClient: {
        submit: async command => {
          commands.push(command);
          if (state === 'lost') throw lost;
          const customer = 'exchange';
          return {
            kind: 'change',
            changeId: 'c',
            customer,
            state,
            version: 1,
            revision: 1,
          };
        },
        query: async () => {
          if (state === 'lost') throw lost;
          return undefined as never;
        },
      },
      instances: () => [],
      backends: () => [],
      replicas: async () => [],
      explain: async requestId => ({requestId, found: false}),
    }),
  );
  return {server, commands};
}

type Method = 'GET' | 'POST' | 'PUT';

async function call(
  {server}: Awaited<ReturnType<typeof serve>>,
  method: Method,
  url: string,
  payload?: object | string,
  key = 'secret',
) {
  const headers = {
    authorization: `Bearer ${key}`,
    ...(payload === undefined ? {} : {'content-type': 'application/json'}),
  };
  const path = `/operator/v1${url}`;
  const response = await server.inject({method, url: path, headers, payload});
  return {status: response.statusCode, body: response.json()};
}

const change = {changeId: 'c', operator: 'ann', expectedVersion: 0};

describe('the operator API', () => {
  it.each<[State, number]>([
    ['accepted', 200],
    ['pending', 202],
    ['rejected', 409],
  ])('answers an %s change with %i', async (state, status) => {
    const api = await serve(state, 'secret');
    const body = {...change, contract: contractOf()};
    const answer = await call(api, 'PUT', '/contracts/exchange', body);
    expect(answer).toMatchObject({status, body: {kind: 'change', state}});
    expect(api.commands).toMatchObject([{kind: 'applyContract', ...change}]);
  });

  it.each<
    [string, Method, string, object | string | undefined, number, string]
  >([
    ['broken JSON', 'PUT', '/contracts/exchange', '{', 400, 'invalidJson'],
    ['an empty body', 'PUT', '/contracts/exchange', {}, 400, 'invalid'],
    [
      'another customer',
      'PUT',
      '/contracts/other',
      {...change, contract: contractOf()},
      400,
      'invalid',
    ],
    [
      'a negative amount',
      'POST',
      '/budgets/exchange/top-ups',
      {changeId: 'c', operator: 'ann', amount: -1},
      400,
      'invalid',
    ],
    [
      'a wrong parameter',
      'GET',
      '/bills?limit=many',
      undefined,
      400,
      'invalid',
    ],
    [
      'an unknown customer',
      'GET',
      '/contracts/nobody',
      undefined,
      404,
      'unknownCustomer',
    ],
    [
      'an unknown change',
      'GET',
      '/changes/none',
      undefined,
      404,
      'unknownChange',
    ],
  ])('refuses %s', async (_name, method, url, body, status, code) => {
    const api = await serve('accepted', 'secret');
    const answer = await call(api, method, url, body);
    expect(answer).toMatchObject({status, body: {error: {code}}});
    expect(api.commands).toEqual([]);
  });

  it('reports all findings of a contract together', async () => {
    const contract = {...contractOf(), priority: 'high', workspaces: []};
    const api = await serve('accepted', 'secret');
    const {body} = await call(api, 'POST', '/contracts/check', {contract});
    const {findings} = body as {findings: Finding[]};
    const paths = findings.map(({path}) => path);
    expect(paths.sort()).toEqual(['/priority', '/workspaces']);
  });

  it('reports an unknown outcome if the response is lost', async () => {
    const api = await serve('lost', 'secret');
    const body = {...change, contract: contractOf()};
    const answer = await call(api, 'PUT', '/contracts/exchange', body);
    expect(answer).toMatchObject({
      status: 503,
      body: {error: {code: 'quorumUnreachable', outcome: 'unknown'}},
    });
  });

  it('refuses a wrong key, and all calls if no key is set', async () => {
    const api = await serve('accepted', 'secret');
    const wrong = await call(api, 'GET', '/instances', undefined, 'secre');
    expect(wrong).toMatchObject({
      status: 401,
      body: {error: {code: 'invalidKey'}},
    });
    const open = await call(await serve(), 'GET', '/instances');
    expect(open.status).toBe(403);
  });
});

describe('announcements', () => {
  const announcement = {
    name: 'server-1',
    incarnation: 5,
    sequence: 5,
    state: 'serving',
    url: 'http://127.0.0.1:1',
    failureDomain: 'd',
    kind: 'model',
  };

  it('are accepted if authenticated, valid and not outdated', async () => {
    const membership = new Membership({
      settings: settingsOf({name: 'one', port: 1}, []),
      incarnation: 1,
      exchange: () => Promise.reject(new Error('unreachable')),
      sendFarewell: async () => {},
      status: () => ({revision: 0, renewedMillisecondsAgo: 0}),
    });
    const server = fastify();
    const backendKey = 'secret';
    await server.register(createAnnouncementRoutes({backendKey, membership}));
    const announce = async (changes: object, key = backendKey) => {
      const response = await server.inject({
        method: 'POST',
        url: '/v1/announcements',
        headers: {authorization: `Bearer ${key}`},
        payload: {...announcement, ...changes},
      });
      return response.statusCode;
    };
    expect(await announce({}, 'wrong')).toBe(401);
    expect(await announce({url: 'ftp://x'})).toBe(400);
    expect(membership.directory).toBeInstanceOf(BackendDirectory);
    expect(membership.backends()).toEqual([]);
    expect(await announce({})).toBe(204);
    expect(await announce({})).toBe(204); // repeats are accepted
    expect(await announce({sequence: 4})).toBe(409);
    expect(await announce({incarnation: 4, sequence: 9})).toBe(409);
    expect(await announce({incarnation: 6, sequence: 0})).toBe(204);
    expect(membership.backends()).toMatchObject([{state: 'serving'}]);
  });
});
