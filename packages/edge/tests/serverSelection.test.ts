/** @fileoverview Tests which server gets the next attempt of a request. */
import {
  MetricsRegistry,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {expect, it} from 'vitest';

import {ServerPaces} from '../src/serverPaces.js';
import {ServerPool} from '../src/serverPool.js';
import {selectServer} from '../src/serverSelection.js';

type SelectionContext = Parameters<typeof selectServer>[0];

const service = 'llm';
const suspectAfterMilliseconds = 4_000;

/** A server that has its full load, and one whose pace admits no request now. */
function createServers() {
  const random = () => 0.99;
  const paces = new ServerPaces({
    clock: systemClock,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    routerCount: () => 40,
    random,
  });
  const pool = new ServerPool({
    logger: silentLogger,
    clock: systemClock,
    connectTimeoutMilliseconds: 300,
    maxConnectTimeoutMilliseconds: 1_000,
    suspectAfterMilliseconds,
    onConnect: () => undefined,
    paces,
  });
  const [full, paced] = ['full', 'paced'].map((id, index) => {
    const address = `10.0.0.${index}:80`;
    const record = {id, service, address, startedAt: 1, sequence: 1, slots: 4};
    pool.update([{...record, state: 'ready', coldMilliseconds: 0}]);
    return pool.find(id)!;
  });
  paces.start(paced!, 'started');
  const context = {
    pool,
    options: {random, failureDomain: 'z'},
    routes: () => undefined,
    limits: {recordDemand: () => undefined, recordDecision: () => undefined},
    connections: {limitsOf: () => () => Infinity},
    reach: {mayReach: () => true},
    speeds: {
      placement: () => ({}),
      loadOf: () => ({}),
      refreshKinds: () => undefined,
    },
  } as unknown as SelectionContext;
  const select = (now: number) => {
    const tried = new Map<string, string>();
    const criteria = {service, tried, limitDecisions: [], placements: []};
    return selectServer(context, criteria, now)?.id;
  };
  return {full: full!, select};
}

it('prefers a server with its full load to one that is paced', () => {
  expect(createServers().select(systemClock.now())).toBe('full');
});

// Guards against requests to a server that doesn't answer while one that has
// started would.
it('prefers a server that is paced to one that does not answer', () => {
  const {full, select} = createServers();
  const now = systemClock.now();
  full.begin({}, 0, now);
  expect(select(now + suspectAfterMilliseconds - 10)).toBe('full');
  expect(select(now + suspectAfterMilliseconds + 10)).toBe('paced');
});
