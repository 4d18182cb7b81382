/** @fileoverview Errors of the ledger. */
import ModernError from 'modern-errors';

/** Base class of the ledger's errors. */
export const LedgerError = ModernError.subclass('LedgerError');

/**
 * A customer's sums are invalid or exceed the prepaid amount. No further
 * command may be applied after this error.
 */
export const InvariantViolation = LedgerError.subclass('InvariantBreachError');
