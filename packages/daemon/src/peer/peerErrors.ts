/**
 * @fileoverview Errors of calls between instances.
 */
import {BaseError, type ErrorClass} from '../util/baseError.js';

/** Why an instance rejected a call without executing it. */
export type PeerRejection =
  'badSignature' | 'clockSkew' | 'missingSignature' | 'wrongCluster';

/** The other instance couldn't be reached or didn't respond in time. */
export const PeerUnreachableError: ErrorClass<{
  /** Whether the other instance may have received the call. */
  maybeReceived: boolean;
}> = BaseError.subclass('PeerUnreachableError', {props: {maybeReceived: true}});

/** The other instance rejected the caller's credentials or clock. */
export const PeerRejectedError: ErrorClass<{code: PeerRejection}> =
  BaseError.subclass('PeerRejectedError', {
    props: {code: 'badSignature' as PeerRejection},
  });

/** The other instance received the call and responded with an error. */
export const PeerFailedError: ErrorClass =
  BaseError.subclass('PeerFailedError');
