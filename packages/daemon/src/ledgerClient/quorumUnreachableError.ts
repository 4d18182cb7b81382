/**
 * @fileoverview Error of a ledger call that got no answer in time.
 */
import {BaseError, type ErrorClass} from '../util/baseError.js';

/** Whether an unanswered command may have been applied. */
export type UnreachableOutcome = 'notSent' | 'unknown';

/** The ledger's quorum didn't answer in time. */
export const QuorumUnreachableError: ErrorClass<{outcome: UnreachableOutcome}> =
  BaseError.subclass('QuorumUnreachableError', {
    props: {outcome: 'unknown' as UnreachableOutcome},
  });
export type QuorumUnreachableError = Error & {outcome: UnreachableOutcome};
