/**
 * @fileoverview Base class of the daemon's errors.
 */
import ModernError from 'modern-errors';

/** Class of errors with the additional properties `P`. */
export interface ErrorClass<P extends object = object> {
  new (message: string, options?: {cause?: unknown; props?: P}): Error & P;
}

/** Base class of the daemon's errors. */
export const BaseError = ModernError.subclass('BaseError');
