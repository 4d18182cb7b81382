/** @fileoverview Limits of the attempts of one request. */

/** Connection failures after which a request fails. */
export const maxConnectFailures = 4;

/** Minimum time to the deadline at which a request is still sent. */
export const minSendTimeMilliseconds = 20;

/** Bytes of a response that are buffered before it is streamed. */
export const maxBufferedBytes = 256 * 1024;

/**
 * Time to wait for the result of a cancelled attempt: half the time within
 * which a server must stop its work, and many round trips.
 */
export const cancelTimeoutMilliseconds = 250;
