/**
 * @fileoverview Expected utilisation of backend servers, from delayed load
 * reports and from this instance's own requests.
 *
 * The number of local requests is exact. The load from other routers is known
 * only from reports, and by the time a router acts on a low report, the other
 * routers have acted on it too. Reported differences between servers therefore
 * count only in part.
 */
import {type BackendEntry} from './backendDirectory.js';

/** Requests that this instance has in flight. */
export interface LocalLoad {
  /** Local requests in flight at the named server. */
  inFlight: (name: string) => number;
  /** Number to add to the reported load; see `LoadTracker.loadCorrection`. */
  loadCorrection?: (entry: BackendEntry) => number;
}

/** A backend server with its estimated utilisation. */
export interface BackendUtilisation {
  entry: BackendEntry;
  /** Expected load plus one request, divided by the capacity. */
  utilisation: number;
  /** The same, with the reported load used as it is. */
  reportedUtilisation: number;
}

/** Lower bound on the weight, to keep utilisation finite. */
const minimumWeight = 0.01;

/** An eligible server with its health weight; see `BackendHealth`. */
export interface WeightedBackend {
  entry: BackendEntry;
  weight: number;
}

/**
 * Estimates the utilisation of each server.
 *
 * @param reportTrust Weight of reported load differences, from 0 to 1.
 */
export function utilisations(
  usable: readonly WeightedBackend[],
  {inFlight, loadCorrection}: LocalLoad,
  {reportTrust}: {reportTrust: number},
): BackendUtilisation[] {
  const loads = usable.map(({entry}) =>
    splitLoad(
      entry,
      inFlight(entry.announcement.name),
      loadCorrection?.(entry) ?? 0,
    ),
  );
  const meanUtilisation = meanUtilisationByOtherRouters(usable, loads);
  return usable.map(({entry, weight}, index) => {
    const {local, otherRouters} = loads[index]!;
    const {capacity} = entry.announcement.load;
    const meanLoad = meanUtilisation * capacity;
    const expectedOtherRouters =
      meanLoad + reportTrust * (otherRouters - meanLoad);
    const usableCapacity = capacity * Math.max(weight, minimumWeight);
    return {
      entry,
      utilisation: (expectedOtherRouters + local + 1) / usableCapacity,
      reportedUtilisation: (otherRouters + local + 1) / usableCapacity,
    };
  });
}

/** Requests at a server by the router that sent them. */
interface LoadByOrigin {
  /** Local requests in flight now. */
  local: number;
  /** Reported load without the local requests that it includes. */
  otherRouters: number;
}

function splitLoad(
  {announcement: {load}}: BackendEntry,
  local: number,
  correction: number,
): LoadByOrigin {
  const localWhenReported = local - correction;
  const otherRouters = Math.max(
    0,
    load.running + load.queued - localWhenReported,
  );
  return {local, otherRouters};
}

function meanUtilisationByOtherRouters(
  usable: readonly WeightedBackend[],
  loads: readonly LoadByOrigin[],
): number {
  let load = 0;
  let capacity = 0;
  usable.forEach(({entry}, index) => {
    load += loads[index]!.otherRouters;
    capacity += entry.announcement.load.capacity;
  });
  return capacity > 0 ? load / capacity : 0;
}
