/**
 * @fileoverview Days on which one leader has to tell a whole fleet of changes that
 * are large, many, or late.
 */
import {type LoadedFleet} from './loadedFleet.js';

const stormChanges = 16;
const stormIntervalMilliseconds = 260;
const freezeMilliseconds = 7_900;
const cutMilliseconds = 7_500;
const settleMilliseconds = 7_000;

/** Routes that are added at once. */
const addedRoutes = 1_700;

/** Days by name. */
export const largeChangeDays = {
  'leader changes in a storm of changes': async fleet => {
    await fleet.changeAtIntervals(6, stormIntervalMilliseconds);
    fleet.freezeLeader(freezeMilliseconds);
    await fleet.changeAtIntervals(stormChanges, stormIntervalMilliseconds);
    await fleet.advance(settleMilliseconds);
  },
  'routes are added while all routers are cut off': async fleet => {
    fleet.cutRouters(cutMilliseconds);
    await fleet.advance(cutMilliseconds - 2_400);
    fleet.change(addedRoutes);
    await fleet.advance(2_400 + settleMilliseconds);
  },
  'routes are added in a storm as the leader changes': async fleet => {
    await fleet.changeAtIntervals(2, stormIntervalMilliseconds);
    fleet.change(addedRoutes);
    await fleet.advance(stormIntervalMilliseconds);
    fleet.freezeLeader(freezeMilliseconds);
    await fleet.changeAtIntervals(8, stormIntervalMilliseconds);
    await fleet.advance(settleMilliseconds);
  },
} satisfies Record<string, (fleet: LoadedFleet) => Promise<void>>;

/** Name of a day. */
export type LargeChangeDay = keyof typeof largeChangeDays;

/** Names of all days. */
export const largeChangeDayNames = Object.keys(
  largeChangeDays,
) as LargeChangeDay[];
