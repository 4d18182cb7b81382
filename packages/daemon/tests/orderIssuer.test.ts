import {Ledger} from '@dogwoodtrestle/ledger';
import {type BackendStatus} from '@dogwoodtrestle/routing';
import {createParser} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {OrderIssuer} from '../src/ledgerHost/orderIssuer.js';
import {contractOf} from './fixtures.js';

function serverOf(name: string, fencing: string): BackendStatus {
  const announcement = createParser('Announcement')({
    name,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    url: `http://${name}`,
    failureDomain: name,
    kind: 'model',
    features: {fencing},
  });
  const entry = {announcement, observedAt: 0};
  return {entry, state: 'serving', ageMilliseconds: 0};
}

/** Creates issuers that share a ledger but have a clock each. */
function setUp(answerMilliseconds = 0, fencing = 'ignored') {
  const ledger = new Ledger();
  const time = {ledger: 1000, index: 0};
  const sent: Array<{url: string; fencingNumber: number}> = [];
  const issuerOf = (issuer: string, clock: {now: number}) =>
    new OrderIssuer({
      issuer,
      isLeader: () => true,
      contracts: () => [contractOf()],
      servers: () => [
        serverOf('checks', 'checked'),
        serverOf('other', fencing),
      ],
      submit: async command => {
        const timestamp = time.ledger;
        return ledger.apply(command, {index: ++time.index, timestamp});
      },
      send: async (url, body) => {
        const {fencingNumber} = body as {fencingNumber: number};
        sent.push({url, fencingNumber});
        clock.now += answerMilliseconds;
        return 200;
      },
      clock: {
        now: () => clock.now,
        wallNow: () => clock.now,
        setTimer: () => () => {},
      },
    });
  return {time, sent, issuerOf};
}

describe('OrderIssuer', () => {
  it('skips servers that ignore fencing until older issuers have ended', async () => {
    const {time, sent, issuerOf} = setUp();
    const clock = {now: 0};
    const issuer = issuerOf('one#1', clock);
    await issuer.runOnce();
    expect(sent).toEqual([{url: 'http://checks', fencingNumber: 1}]);
    clock.now += 3000;
    time.ledger += 3000;
    await issuer.runOnce();
    expect(sent).toMatchObject([{}, {url: 'http://other', fencingNumber: 1}]);
  });

  it('issues no order while another process holds the lease', async () => {
    const {time, sent, issuerOf} = setUp();
    await issuerOf('one#1', {now: 0}).runOnce();
    const second = issuerOf('two#1', {now: 0});
    await second.runOnce();
    expect(sent).toHaveLength(1);
    time.ledger += 12_001;
    await second.runOnce();
    expect(sent[1]).toEqual({url: 'http://checks', fencingNumber: 2});
  });

  it('sends no order that could end after the lease', async () => {
    const {sent, issuerOf} = setUp(11_000, 'checked'); // almost the lease duration
    await issuerOf('one#1', {now: 0}).runOnce();
    expect(sent).toHaveLength(1);
  });
});
