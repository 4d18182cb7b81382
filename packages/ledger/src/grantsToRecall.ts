/**
 * @fileoverview Chooses the grants to recall before a request is refused.
 *
 * A router without a grant refuses everything once it is cut off, so as few
 * grants as will do are recalled: the largest first.
 */
import {type GrantHolder, type RefusedResult} from '@dogwoodtrestle/schema';

/**
 * Returns the grants whose return would cover what a request lacks; all of
 * them where that can't be told.
 *
 * @param maximumCost Amount that the refused request must reserve, in micros.
 */
export function selectGrantsToRecall(
  refusal: RefusedResult,
  maximumCost: number,
): GrantHolder[] {
  const {code, available, recallable = []} = refusal;
  // What a grant may spend of a workspace's share is not known here.
  if (code !== 'budgetExhausted' || available === undefined) return recallable;
  const chosen: GrantHolder[] = [];
  let missing = maximumCost - available;
  const largestFirst = [...recallable].sort(
    (a, b) => b.remaining - a.remaining,
  );
  for (const grant of largestFirst) {
    if (missing <= 0) break;
    chosen.push(grant);
    missing -= grant.remaining;
  }
  return chosen;
}
