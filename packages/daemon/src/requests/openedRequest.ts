/** @fileoverview A request that has been recorded durably. */

/** A request whose record is durable, so that it may be sent. */
export type OpenedRequest = {
  requestKey: string;
  attempt: number;
  /** Reserved amount, in micros; 0 if unknown. */
  reserved: number;
} & ({by: 'quorum'} | {by: 'grant'; grantId: string; sequence: number});
