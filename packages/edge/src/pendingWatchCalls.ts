/**
 * @fileoverview A router's watch calls without a reply: long polls, and calls that
 * ask for an immediate one. Without any reply the router may be cut off; then few
 * calls are kept, as those of all routers arrive at once when a partition ends.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

import {type PendingCall, PendingCalls} from './pendingCalls.js';

/** Long polls without a reply at one process. */
const maxPendingPolls = 3;

/** Calls without a reply that ask one process for an immediate one. */
const maxPendingAsks = 3;

/** Time without a reply of any process after which the router may be cut off. */
const silenceMilliseconds = 2_500;

/** Kind of a watch call. */
export type WatchCallKind = 'poll' | 'ask';

/** Watch calls by kind. */
export class PendingWatchCalls {
  readonly polls = new PendingCalls(maxPendingPolls);
  readonly asks = new PendingCalls(maxPendingAsks);
  /** When any process has last replied. */
  private repliedAt: number;

  constructor(private readonly clock: Clock) {
    this.repliedAt = clock.now();
  }

  /** Whether no process replies, so that this router may be cut off. */
  get isSilent(): boolean {
    return this.clock.now() - this.repliedAt >= silenceMilliseconds;
  }

  /** Records the reply to a call; those that it shows to be lost are ended. */
  recordReply(call: PendingCall): void {
    this.repliedAt = this.clock.now();
    this.polls.endLost(call);
    this.asks.endLost(call);
  }

  /**
   * Ends calls to a process that doesn't reply, and returns the kind of the next one
   * if it is due. The oldest poll keeps its full time, as on a busy link each reply
   * is late.
   *
   * @param patience Time after which another call may take the place of one.
   */
  dueInSilence(address: string, patience: number): WatchCallKind | undefined {
    this.polls.endAllBut(1, address);
    this.asks.endSentBefore(address, this.clock.now() - patience);
    if (this.asks.countTo(address) > 0) return undefined;
    return this.polls.countTo(address) > 0 ? 'ask' : 'poll';
  }
}
