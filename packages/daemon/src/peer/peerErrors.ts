/**
 * @fileoverview Errors of calls between instances.
 */
import {BaseError} from '../util/baseError.js';

/** Why an instance refused a call before running it. */
export type PeerRejection =
  'badSignature' | 'clockSkew' | 'missingSignature' | 'wrongCluster';

/** The other instance couldn't be reached or didn't answer in time. */
export const PeerUnreachableError = BaseError.subclass('PeerUnreachableError', {
  props: {
    /** Whether the other instance may have received the call. */
    maybeReceived: true,
  },
});
export type PeerUnreachableError = InstanceType<typeof PeerUnreachableError>;

/** The other instance refused the caller's credentials or clock. */
export const PeerRejectedError = BaseError.subclass('PeerRejectedError', {
  props: {code: 'badSignature' as PeerRejection},
});
export type PeerRejectedError = InstanceType<typeof PeerRejectedError>;

/** The other instance received the call and answered with an error. */
export const PeerFailedError = BaseError.subclass('PeerFailedError');
export type PeerFailedError = InstanceType<typeof PeerFailedError>;
