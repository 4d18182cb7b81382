/** @fileoverview Announcements, instance records and random numbers for tests. */
import {type Announcement, type Load} from '@dogwoodtrestle/schema';

import {type InstanceRecord} from '../src/index.js';

/** Returns an announcement of an idle model server. */
export function announcementOf(
  name: string,
  overrides: Partial<Omit<Announcement, 'load'>> & {load?: Partial<Load>} = {},
): Announcement {
  return {
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    url: `http://10.0.0.1/${name}`,
    region: 'bc',
    failureDomain: 'kamloops-1',
    kind: 'model',
    models: [{name: 'lot-writer', version: '3', adapters: ['bids']}],
    features: {
      fencing: 'checked',
      priorities: true,
      resume: true,
      cancel: true,
      attemptReport: true,
      kvTransfer: true,
    },
    ...overrides,
    name,
    load: {
      running: 0,
      queued: 0,
      capacity: 16,
      tokensPerSecond: 0,
      ...overrides.load,
    },
  };
}

/** Returns a record of a router. */
export function instanceOf(
  name: string,
  overrides: Partial<InstanceRecord> = {},
): InstanceRecord {
  return {
    cluster: 'desk',
    name,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    address: `10.0.0.${name.length}`,
    callerPort: 8080,
    peerPort: 8081,
    region: 'bc',
    failureDomain: 'kamloops-1',
    roles: ['router'],
    revision: 1,
    renewedMillisecondsAgo: 0,
    wallClock: 1_000_000,
    ...overrides,
  };
}

/** Returns a deterministic generator of numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
