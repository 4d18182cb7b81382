/**
 * @fileoverview Refusal for a retry of a settled request whose response is no
 * longer stored.
 */
import {type DuplicateResult} from '@dogwoodtrestle/schema';

import {refusal, type Refusal} from './refusal.js';

/**
 * Returns the refusal. It reports `didNotRun` as unknown for a request that was
 * settled because its router was lost, since that request may have run.
 */
export function responseNotKept({bill}: DuplicateResult): Refusal {
  if (bill?.outcome !== 'unknown') return refusal('answerNotKept');
  return refusal('answerNotKept', {
    message:
      "The request with this key was billed after its router was lost; whether it ran isn't known.",
    didNotRun: 'unknown',
  });
}
