/**
 * @fileoverview Compares ways to divide the limit of a backend server among
 * routers: one server of many in need, and a service whose servers all are.
 */
import {type Row} from '../util/table.js';
import {
  type LimitDay,
  type LimitPolicyName,
  simulateLimitDay,
} from './limitModel.js';

/** Fleets to compare; each router gets 2 to 17 requests a second. */
export const limitFleets = [
  {routers: 6, servers: 13, requestsPerSecond: 100},
  {routers: 90, servers: 20, requestsPerSecond: 400},
  {routers: 195, servers: 20, requestsPerSecond: 600},
  {routers: 400, servers: 20, requestsPerSecond: 800},
] as const;

/** Policies in the order of the results. */
export const limitPolicies = [
  'whole limit at each router',
  'equal shares',
  'few routers',
  'leases by demand',
] as const satisfies readonly LimitPolicyName[];

/** Part of the requests that the limits cover where all servers are in need. */
const coveredShare = 1.25;

/** Limits by the name in the results, for a fleet. */
export const limitSituations = {
  'one server, 2 a second': () => ({limitedServers: 1, perSecond: 2}),
  'all servers, 1.25 of the requests': ({
    servers,
    requestsPerSecond,
  }: Pick<LimitDay, 'servers' | 'requestsPerSecond'>) => ({
    limitedServers: servers,
    perSecond: (coveredShare * requestsPerSecond) / servers,
  }),
};

/** Creates a day of half a minute. */
export function limitDay(
  changes: Pick<LimitDay, 'routers' | 'servers' | 'requestsPerSecond'> &
    Partial<LimitDay>,
): LimitDay {
  return {
    seed: 1,
    isEntryUneven: false,
    limitedServers: 1,
    perSecond: 2,
    durationMilliseconds: 35_000,
    ...changes,
  };
}

/** Runs all policies on all fleets. */
export function compareLimitPolicies(): Row[] {
  return Object.entries(limitSituations).flatMap(([situation, limits]) =>
    limitFleets.flatMap(fleet =>
      [false, true].flatMap(isEntryUneven =>
        limitPolicies.map(policy => {
          const day = limitDay({...fleet, ...limits(fleet), isEntryUneven});
          const outcome = simulateLimitDay(day, policy);
          return {
            limits: situation,
            routers: fleet.routers,
            entry: isEntryUneven ? 'uneven' : 'even',
            policy,
            'largest 4 s / allowed': outcome.largestWindowShare,
            'used of the limit': outcome.usedShare,
            'refused, %': 100 * outcome.refusedShare,
          };
        }),
      ),
    ),
  );
}
