/**
 * @fileoverview Finds the known name closest to a misspelt one.
 */
import {closest, distance} from 'fastest-levenshtein';

/** Largest share of a name's letters that may differ in a near match. */
const maximumDifference = 0.4;

/** Returns the candidate closest to `name`, if any is close. */
export function nearMatch(
  name: string,
  candidates: readonly string[],
): string | undefined {
  if (candidates.length === 0) return undefined;
  const best = closest(name, candidates);
  const limit = Math.max(1, Math.floor(name.length * maximumDifference));
  return distance(name, best) <= limit ? best : undefined;
}
