/** @fileoverview Errors of the ledger. */
import ModernError from 'modern-errors';

/** Base class of the ledger's errors. */
export const LedgerError = ModernError.subclass('LedgerError');

/**
 * A customer's sums no longer fit its prepaid amount. The state machine must
 * not apply anything after it.
 */
export const InvariantViolation = LedgerError.subclass('InvariantBreachError');
