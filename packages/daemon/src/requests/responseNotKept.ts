/**
 * @fileoverview What the repeat of a finished request gets whose answer nobody
 * keeps.
 */
import {type DuplicateResult} from '@dogwoodtrestle/schema';

import {refusal, type Refusal} from './refusal.js';

/**
 * Returns the refusal. A request that was settled because its router was lost
 * may or may not have run.
 */
export function responseNotKept({bill}: DuplicateResult): Refusal {
  if (bill?.outcome !== 'unknown') return refusal('answerNotKept');
  return refusal('answerNotKept', {
    message:
      "The request with this key was billed after its router was lost; whether it ran isn't known.",
    didNotRun: 'unknown',
  });
}
