/**
 * @fileoverview Error of a call to the ledger that got no answer in time.
 */
import {BaseError, type ErrorClass} from '../util/baseError.js';

/** Whether a command without an answer may have been applied. */
export type UnreachableOutcome = 'notSent' | 'unknown';

/** The ledger's quorum couldn't be reached in time. */
export const QuorumUnreachableError: ErrorClass<{outcome: UnreachableOutcome}> =
  BaseError.subclass('QuorumUnreachableError', {
    props: {outcome: 'unknown' as UnreachableOutcome},
  });
export type QuorumUnreachableError = Error & {outcome: UnreachableOutcome};
