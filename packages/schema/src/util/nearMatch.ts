/**
 * @fileoverview Finds the known name closest to a misspelled one.
 */
import {closest, distance} from 'fastest-levenshtein';

/** Largest edit distance of a near match, as a share of the name's length. */
const maximumDistanceShare = 0.4;

/** Returns the candidate closest to `name`, or undefined if none is close. */
export function nearMatch(
  name: string,
  candidates: readonly string[],
): string | undefined {
  if (candidates.length === 0) return undefined;
  const best = closest(name, candidates);
  const limit = Math.max(1, Math.floor(name.length * maximumDistanceShare));
  return distance(name, best) <= limit ? best : undefined;
}
