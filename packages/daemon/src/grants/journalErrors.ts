/**
 * @fileoverview Errors of journals.
 */
import {BaseError, type ErrorClass} from '../util/baseError.js';

/** A journal is closed or sealed, or doesn't exist. */
export const JournalClosedError: ErrorClass =
  BaseError.subclass('JournalClosedError');

/** A journal is damaged before its last line. */
export const JournalCorruptError: ErrorClass<{file: string; line: number}> =
  BaseError.subclass('JournalCorruptError', {props: {file: '', line: 0}});
