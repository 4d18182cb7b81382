/**
 * @fileoverview Plays days with large changes at the users' sizes, and shows how late
 * the slowest router had one and what the control processes sent.
 */
import {type Row} from '../util/table.js';
import {largeChangeDayNames, largeChangeDays} from './largeChanges.js';
import {LoadedFleet} from './loadedFleet.js';

/** Options of the benchmark. */
export interface LargeChangeBenchOptions {
  /** Sizes of the fleet. */
  routers: readonly number[];
  seeds: readonly number[];
}

/** Default options. */
export const defaultLargeChangeBenchOptions: LargeChangeBenchOptions = {
  routers: [6, 30, 91, 195, 400],
  seeds: [1],
};

/** Plays each day at each size and with each seed; returns a row for each. */
export async function measureLargeChanges(
  input: Partial<LargeChangeBenchOptions> = {},
): Promise<Row[]> {
  const options = {...defaultLargeChangeBenchOptions, ...input};
  const rows: Row[] = [];
  for (const name of largeChangeDayNames) {
    for (const routers of options.routers) {
      for (const seed of options.seeds) {
        const day = largeChangeDays[name];
        const outcome = await LoadedFleet.play({routers, seed}, day);
        const {versions, unacknowledged, terms, sentMegabytes, calls} = outcome;
        const slowest = versions.map(one => one.slowestMilliseconds);
        rows.push({
          day: name,
          routers,
          seed,
          versions: versions.length,
          'slowest router, ms': Math.round(Math.max(0, ...slowest)),
          unacknowledged,
          terms,
          'sent, MB': sentMegabytes,
          calls,
        });
      }
    }
  }
  return rows;
}
