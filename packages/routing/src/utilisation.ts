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
  /** The same with the report taken at its word. */
  reportedUtilisation: number;
}

const smallestWeight = 0.01;

/** @param reportTrust Share of the reported differences that counts. */
export function utilisations(
  entries: readonly BackendEntry[],
  input: ChoiceInput,
  {reportTrust}: {reportTrust: number},
): Utilisation[] {
  const others = entries.map(entry => loadOfOthers(entry, input));
  let totalLoad = 0;
  let totalCapacity = 0;
  entries.forEach(({announcement}, index) => {
    totalLoad += others[index]!;
    totalCapacity += announcement.load.capacity;
  });
  const mean = totalCapacity > 0 ? totalLoad / totalCapacity : 0;
  return entries.map((entry, index) => {
    const {name, load} = entry.announcement;
    const own = input.inFlight(name) + 1;
    const typical = mean * load.capacity;
    const reported = others[index]!;
    const expected = typical + reportTrust * (reported - typical);
    const weight = Math.max(input.health(name).weight, smallestWeight);
    const capacity = load.capacity * weight;
    return {
      entry,
      utilisation: (expected + own) / capacity,
      reportedUtilisation: (reported + own) / capacity,
    };
  });
}

/** The reported load without the own requests that were part of it. */
function loadOfOthers(entry: BackendEntry, input: ChoiceInput): number {
  const {name, load} = entry.announcement;
  const ownThen = input.inFlight(name) - (input.correction?.(entry) ?? 0);
  return Math.max(0, load.running + load.queued - ownThen);
}
