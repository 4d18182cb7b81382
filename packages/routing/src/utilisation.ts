/**
 * @fileoverview Expected utilisation of backend servers, from reports that lag
 * and from this instance's own requests.
 *
 * Own requests are known exactly. What other routers have running is known
 * from reports only, and by the time a router acts on a low one, the others
 * have acted on it too. So reported differences count in part.
 */
import {type BackendEntry} from './directory.js';

/** What an instance knows of its own requests. */
export interface OwnLoad {
  /** Own requests in flight there. */
  inFlight: (name: string) => number;
  /** Number to add to the reported load; see `LoadTracker.correction`. */
  loadCorrection?: (entry: BackendEntry) => number;
}

export interface Utilisation {
  entry: BackendEntry;
  /** Expected load with one more request, as a share of the capacity. */
  utilisation: number;
  /** The same with the report taken at its word. */
  reportedUtilisation: number;
}

const smallestWeight = 0.01;

/** A server that may be chosen, with the weight of its health. */
export interface UsableBackend {
  entry: BackendEntry;
  weight: number;
}

/** @param reportTrust Share of the reported differences that counts. */
export function utilisations(
  usable: readonly UsableBackend[],
  {inFlight, loadCorrection: correction}: OwnLoad,
  {reportTrust}: {reportTrust: number},
): Utilisation[] {
  const loads = usable.map(({entry}) =>
    splitLoad(
      entry,
      inFlight(entry.announcement.name),
      correction?.(entry) ?? 0,
    ),
  );
  const mean = meanUtilisationByOthers(usable, loads);
  return usable.map(({entry, weight}, index) => {
    const {own, others} = loads[index]!;
    const {capacity} = entry.announcement.load;
    const typical = mean * capacity;
    const expected = typical + reportTrust * (others - typical);
    const usableCapacity = capacity * Math.max(weight, smallestWeight);
    return {
      entry,
      utilisation: (expected + own + 1) / usableCapacity,
      reportedUtilisation: (others + own + 1) / usableCapacity,
    };
  });
}

interface SplitLoad {
  /** Own requests in flight now. */
  own: number;
  /** The reported load without the own requests that were part of it. */
  others: number;
}

function splitLoad(
  {announcement: {load}}: BackendEntry,
  own: number,
  correction: number,
): SplitLoad {
  const ownWhenReported = own - correction;
  const others = Math.max(0, load.running + load.queued - ownWhenReported);
  return {own, others};
}

function meanUtilisationByOthers(
  usable: readonly UsableBackend[],
  loads: readonly SplitLoad[],
): number {
  let load = 0;
  let capacity = 0;
  usable.forEach(({entry}, index) => {
    load += loads[index]!.others;
    capacity += entry.announcement.load.capacity;
  });
  return capacity > 0 ? load / capacity : 0;
}
