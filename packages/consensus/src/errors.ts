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
 * This replica doesn't lead, and the command was not appended to the log.
 * `leader` is the leader that this replica follows, where it knows one.
 */
export const NotLeader: ErrorClass<{leader?: Member}> =
  BaseError.subclass('NotLeaderError');

/** The command was appended to the log, and may or may not be committed. */
export const OutcomeUnknown: ErrorClass = BaseError.subclass(
  'OutcomeUnknownError',
);

/** The replica was stopped before it appended the command. */
export const Stopped: ErrorClass = BaseError.subclass('StoppedError');

/** A membership change is refused; the message says why. */
export const MembershipChangeRejected: ErrorClass = BaseError.subclass(
  'MembershipRefusedError',
);

/** Leadership could not be handed to another voter in time. */
export const TransferFailed: ErrorClass = BaseError.subclass(
  'TransferFailedError',
);

/** A file of the data folder is damaged, at `offset` bytes from its start. */
export const CorruptFile: ErrorClass<{file: string; offset: number}> =
  BaseError.subclass('CorruptFileError', {props: {file: '', offset: 0}});

/** The member's id differs from the identity of its data folder. */
export const IdentityMismatch: ErrorClass = BaseError.subclass(
  'IdentityMismatchError',
);

/** A replica broke a rule of the protocol; the receiver refuses to go on. */
export const ProtocolViolation: ErrorClass = BaseError.subclass(
  'ProtocolBreachError',
);

/** The group can't be founded as its settings say. */
export const BootstrapError: ErrorClass = BaseError.subclass('FoundingError');
