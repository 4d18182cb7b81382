/**
 * @fileoverview The header that tells to which call a reply belongs.
 */

/** Header of a call, whose value its reply has as well. */
export const callIdHeader = 'x-call-id';
