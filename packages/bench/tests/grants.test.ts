/** @fileoverview Tests the policies for grants that routers hold in memory. */
import {describe, expect, it} from 'vitest';

import {grantDay, grantDays, grantPolicies} from '../src/grants/grantBench.js';
import {type GrantDay, simulateGrantDay} from '../src/grants/grantModel.js';

const fleet = {routers: 30, customers: 10, requestsPerSecond: 150};

function play(policy: keyof typeof grantPolicies, changes: Partial<GrantDay>) {
  const outcome = simulateGrantDay(
    grantDay({...fleet, ...changes}),
    grantPolicies[policy],
  );
  return {...outcome, refusedShare: outcome.falselyRefused / outcome.asked};
}

// Many routers, each with a small grant of every customer, are partitioned from
// the control processes.
describe('grants that routers hold in memory', () => {
  it.each(Object.entries(grantDays))('overspend nothing: %s', (_, changes) => {
    expect(play('holders that lend', changes).overspent).toBe(0);
  });

  // The users accept false refusals of at most one request in a hundred.
  it('serve what a total covers during a partition of 9 s', () => {
    const {partition} = grantDays;
    expect(play('holders that lend', partition).refusedShare).toBeLessThan(
      0.01,
    );
  });

  it('serve what a total covers during a partition after a surge', () => {
    const day = grantDays['surge, then partition'];
    expect(play('holders that lend', day).refusedShare).toBeLessThan(0.01);
  });

  it("refuse less than grants sized by each router's own demand", () => {
    const {partition} = grantDays;
    const plain = play('own demand, 14 s, no loans', partition);
    const pooled = play('holders that lend', partition);
    expect(pooled.refusedShare).toBeLessThan(plain.refusedShare / 2);
  });

  it('forfeit less in an outage than grants sized by own demand', () => {
    const day = grantDays['partition, then loss of all power'];
    const plain = play('own demand, 14 s, no loans', day);
    const pooled = play('holders that lend', day);
    expect(pooled.forfeitedShare).toBeLessThan(plain.forfeitedShare);
  });

  // Guards against a spending limit that lets a router spend most of its grant
  // before it can detect a partition: all of that is forfeited when the router
  // loses power (issue 18).
  it.each([fleet, {routers: 90, customers: 24, requestsPerSecond: 400}])(
    'forfeit at most twice the usual usage in an outage: $routers',
    fleet => {
      const day = grantDays['loss of all power as totals run out'];
      const changes = {...fleet, ...day};
      const {forfeitedShare} = play('holders that lend', changes);
      // Report interval, outage, and tolerance of wall clocks.
      const unreportedMilliseconds = 400 + 1_000 + 200;
      const fundedMilliseconds = day.durationMilliseconds * day.prepaidFactor;
      expect(forfeitedShare).toBeLessThan(
        (2 * unreportedMilliseconds) / fundedMilliseconds,
      );
    },
  );

  // Guards against tokens that are forfeited for good when all routers lose
  // their power, which refused callers for the rest of the day (issue 18).
  it('serve what a total covers after a loss of all power', () => {
    const day = grantDays['loss of all power as totals run out'];
    const {askedAfterLoss, falselyRefusedAfterLoss, overspent} = play(
      'holders that lend',
      day,
    );
    expect(overspent).toBe(0);
    // The same target as in a partition.
    expect(falselyRefusedAfterLoss / askedAfterLoss).toBeLessThan(0.01);
  });
});
