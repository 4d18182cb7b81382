/**
 * @fileoverview Errors of the replicated log.
 */
import {type Member} from '@dogwoodtrestle/schema';
import ModernError from 'modern-errors';

/** Class of errors that carry the properties `P`. */
export interface ErrorClass<P extends object = object> {
  new (message: string, options?: {cause?: unknown; props?: P}): Error & P;
}

const BaseError = ModernError.subclass('ConsensusError');

/** Parent of all errors of this package. */
export const ConsensusError: ErrorClass = BaseError;

/**
 * This replica isn't the leader, and the command was not appended to the log.
 * `leader` is the current leader, if this replica knows it.
 */
export const NotLeader: ErrorClass<{leader?: Member}> =
  BaseError.subclass('NotLeaderError');

/** The command was appended to the log and may or may not be committed. */
export const OutcomeUnknown: ErrorClass = BaseError.subclass(
  'OutcomeUnknownError',
);

/** The replica was stopped before it appended the command. */
export const Stopped: ErrorClass = BaseError.subclass('StoppedError');

/** A membership change was rejected; the message gives the reason. */
export const MembershipChangeRejected: ErrorClass = BaseError.subclass(
  'MembershipChangeRejectedError',
);

/** No other voter became the leader within the election timeout. */
export const TransferFailed: ErrorClass = BaseError.subclass(
  'TransferFailedError',
);

/** A file of the data folder is corrupt at `offset` bytes from its start. */
export const CorruptFile: ErrorClass<{file: string; offset: number}> =
  BaseError.subclass('CorruptFileError', {props: {file: '', offset: 0}});

/** The member's id differs from the identity stored in its data folder. */
export const IdentityMismatch: ErrorClass = BaseError.subclass(
  'IdentityMismatchError',
);

/** A replica sent a message that violates the protocol. */
export const ProtocolViolation: ErrorClass = BaseError.subclass(
  'ProtocolViolationError',
);

/** The group can't be bootstrapped with the configured initial replicas. */
export const BootstrapError: ErrorClass = BaseError.subclass('BootstrapError');
