/**
 * @fileoverview A router whose link is so busy that each reply is late, in fleets
 * of the users' sizes, without a network.
 */
import {describe, expect, it} from 'vitest';

import {type DelayedLoad, playDelayedDay} from './support/delayedFleet.js';

const fleets = [
  {routers: 6, customers: 10, requestsPerSecond: 60},
  {routers: 30, customers: 24, requestsPerSecond: 100},
  {routers: 91, customers: 24, requestsPerSecond: 200},
  {routers: 195, customers: 24, requestsPerSecond: 200},
  {routers: 400, customers: 24, requestsPerSecond: 200},
];

/**
 * Fleets whose requests enter evenly, or each customer's at one router; all of
 * one customer enter at the router with the busy link. A name has the number of
 * routers, the rank of that customer by size, and the entry.
 */
const loads = fleets.flatMap(fleet =>
  [0, 3, fleet.customers - 1].flatMap(busyCustomer =>
    [false, true].map(isUneven => {
      const entry = isUneven ? 'uneven' : 'even';
      const name = `${fleet.routers} routers, customer ${busyCustomer}, ${entry}`;
      return [name, {...fleet, busyCustomer, isUneven}] as const;
    }),
  ),
);

function createLoad(changes: Partial<DelayedLoad>): DelayedLoad {
  return {
    seed: 1,
    routers: 6,
    customers: 10,
    requestsPerSecond: 100,
    prepaidFactor: 1.3,
    durationMilliseconds: 22_000,
    isUneven: false,
    busyCustomer: 0,
    delayMilliseconds: 1_200,
    busyFrom: 6_000,
    busyUntil: 20_000,
    ...changes,
  };
}

// Guards against a router that refuses its callers, as the time limits of its
// calls are below the delay of its link (issue 37).
describe('a customer whose requests enter at a router with a busy link', () => {
  it.each(loads)('is served: %s', async (_, changes) => {
    let served = 0;
    let refused = 0;
    for (const seed of [1, 2]) {
      const load = createLoad({...changes, seed});
      const outcome = await playDelayedDay(load);
      expect(outcome.overspent).toBe(0);
      const customer = outcome.customers[load.busyCustomer];
      served += customer?.served ?? 0;
      refused += customer?.refused ?? 0;
    }
    // As where the link is free for a quarter of the time; see bench/grants.
    expect(served / (served + refused)).toBeGreaterThan(0.75);
  });
});

/** Time for a new configuration to be in force, by the users' rule. */
const configurationMilliseconds = 2_500;

// Guards against requests that are answered by an old configuration, as each
// watch call of a router with a busy link ends before its reply (issue 25).
describe('a router with a busy link', () => {
  it.each(fleets)('gets configurations: $routers routers', async fleet => {
    const delayMilliseconds = 2_000;
    const load = createLoad({...fleet, delayMilliseconds, isUneven: true});
    const outcome = await playDelayedDay(load);
    expect(outcome.configurationMilliseconds).toBeLessThan(
      configurationMilliseconds + delayMilliseconds,
    );
  });
});
