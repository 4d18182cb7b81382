/**
 * @fileoverview What a router holds for its callers, and what becomes of callers
 * that hold more than there is: counted, logged, and given up.
 *
 * Load pattern: callers that keep to no limit. Each limit here is one that no caller
 * meets that reads its answers and sends what it has begun.
 */
import {type Socket} from 'node:net';

import {
  type BodyFailure,
  ByteAccount,
  type HeldBytes,
  type LimitListener,
  LimitRecorder,
} from '@dogwoodtrestle/runtime';

import {type EdgeOptions} from './edgeOptions.js';

/** Memory of a request that waits for the one in front, with its head. */
const waitingRequestBytes = 16 * 1024;

/** Options of the limits. */
export type CallerLimitsOptions = Pick<
  EdgeOptions,
  'callerBytes' | 'clock' | 'logger' | 'metrics'
>;

/** Limits of all callers of a router. */
export class CallerLimits {
  /** Bytes that are held for callers. */
  readonly account: ByteAccount;
  /** Counts the use of a limit, and logs it at times. */
  readonly record: LimitListener;

  constructor({callerBytes, clock, logger, metrics}: CallerLimitsOptions) {
    const uses = metrics.counter(
      'dogwoodtrestle_caller_limits_total',
      'Callers that were refused or closed, by the limit that they met.',
    );
    const {record} = new LimitRecorder({
      clock,
      logger,
      message: 'caller met a limit',
      count: limit => uses.add({limit}),
      describe: () => ({heldBytes: this.account.heldBytes}),
    });
    this.record = record;
    const onGivenUp = () => this.record('memory');
    this.account = new ByteAccount({...callerBytes, onGivenUp});
  }

  /** Closes a connection with too many requests ahead. */
  closeAhead(socket: Socket): void {
    // Later requests of the same bytes are received after the close.
    if (socket.destroyed) return;
    this.record('requestsAhead');
    socket.destroy();
  }

  /** Holds the memory of a request that waits. */
  holdWaiting(socket: Socket): HeldBytes {
    const held = this.account.open(() => socket.destroy());
    held.set(waitingRequestBytes);
    return held;
  }

  /** Records why a body was not read. */
  recordFailure(failure: BodyFailure): void {
    if (failure === 'late') this.record('bodyTime');
  }
}
