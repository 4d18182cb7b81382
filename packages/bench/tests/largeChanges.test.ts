/**
 * @fileoverview Tests that routers of fleets of the users' sizes have changes in
 * time, where one leader's processor and link are charged for what it sends.
 */
import {describe, expect, it} from 'vitest';

import {
  type LargeChangeDay,
  largeChangeDayNames,
  largeChangeDays,
} from '../src/freshness/largeChanges.js';
import {LoadedFleet} from '../src/freshness/loadedFleet.js';

/** Time from an acknowledgement until all routers have a version, by routers. */
const targets = [
  {routers: 6, milliseconds: 1_000},
  {routers: 30, milliseconds: 1_000},
  {routers: 91, milliseconds: 1_000},
  {routers: 195, milliseconds: 1_000},
  {routers: 400, milliseconds: 2_000},
];

/** Leaders that a day ends by itself. */
const frozenLeaders: Record<LargeChangeDay, number> = {
  'leader changes in a storm of changes': 1,
  'routes are added while all routers are cut off': 0,
  'routes are added in a storm as the leader changes': 1,
};

/** Limit of the time to play a day. */
const playTimeoutMilliseconds = 120_000;

// Guards against leaders that are brought down one after another by routers that
// lack a large change, or many changes, of which these then learn late (issue 49).
describe.each(largeChangeDayNames)('%s', name => {
  it.each(targets)(
    '$routers routers have each version in time',
    async ({routers, milliseconds}) => {
      const outcome = await LoadedFleet.play({routers}, largeChangeDays[name]);
      const {versions, unacknowledged, terms} = outcome;
      const late = versions.filter(
        ({slowestMilliseconds}) => slowestMilliseconds > milliseconds,
      );
      expect({late, unacknowledged}).toEqual({late: [], unacknowledged: 0});
      expect(versions).not.toHaveLength(0);
      expect(terms).toBe(frozenLeaders[name]);
    },
    playTimeoutMilliseconds,
  );
});
