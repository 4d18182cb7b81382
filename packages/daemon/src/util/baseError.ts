/**
 * @fileoverview Parent of the daemon's error classes.
 */
import ModernError from 'modern-errors';

/** Class of errors that carry the properties `P`. */
export interface ErrorClass<P extends object = object> {
  new (message: string, options?: {cause?: unknown; props?: P}): Error & P;
}

/** Parent of all errors that the control parts throw. */
export const BaseError = ModernError.subclass('BaseError');
