/**
 * @fileoverview Selects the grants to recall before a request is refused.
 *
 * A router without a grant must refuse all requests while it is partitioned,
 * so as few grants as possible are recalled, the largest first.
 */
import {type GrantHolder, type RefusedResult} from '@dogwoodtrestle/schema';

/**
 * Returns the grants whose return would cover the missing amount, or all
 * grants if the missing amount is not known.
 *
 * @param maximumCost Amount that the refused request has to reserve, in micros.
 */
export function selectGrantsToRecall(
  refusal: RefusedResult,
  maximumCost: number,
): GrantHolder[] {
  const {code, available, recallable = []} = refusal;
  // A refusal does not state the workspace allowances of the grants.
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
