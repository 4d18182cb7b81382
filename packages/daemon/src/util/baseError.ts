/**
 * @fileoverview Parent of the daemon's error classes.
 */
import ModernError from 'modern-errors';

/** Parent of all errors that the control parts throw. */
export const BaseError = ModernError.subclass('BaseError');
