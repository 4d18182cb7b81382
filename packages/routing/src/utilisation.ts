/**
 * @fileoverview Expected utilisation of backend servers, from reports that lag
 * and from this instance's own requests.
 *
 * Own requests are known exactly. What other routers have running is known
 * from reports only, and by the time a router acts on a low one, the others
 * have acted on it too. So reported differences count in part.
 */
import {type ChoiceInput} from './chooseBackend.js';
import {type BackendEntry} from './directory.js';

export interface Utilisation {
  entry: BackendEntry;
  /** Expected load with one more request, as a share of the capacity. */
  utilisation: number;
}

const smallestWeight = 0.01;

/** @param reportTrust Share of the reported differences that counts. */
export function utilisations(
  entries: readonly BackendEntry[],
  input: ChoiceInput,
  {reportTrust}: {reportTrust: number},
): Utilisation[] {
  const others = entries.map(entry => loadOfOthers(entry, input));
  let load = 0;
  let capacity = 0;
  entries.forEach(({announcement}, index) => {
    load += others[index]!;
    capacity += announcement.load.capacity;
  });
  const mean = capacity > 0 ? load / capacity : 0;
  return entries.map((entry, index) => {
    const {name, load} = entry.announcement;
    const typical = mean * load.capacity;
    const expected = typical + reportTrust * (others[index]! - typical);
    const weight = Math.max(input.health(name).weight, smallestWeight);
    const utilisation =
      (expected + input.inFlight(name) + 1) / (load.capacity * weight);
    return {entry, utilisation};
  });
}

/** The reported load without the own requests that were part of it. */
function loadOfOthers(entry: BackendEntry, input: ChoiceInput): number {
  const {name, load} = entry.announcement;
  const ownThen = input.inFlight(name) - (input.correction?.(entry) ?? 0);
  return Math.max(0, load.running + load.queued - ownThen);
}
