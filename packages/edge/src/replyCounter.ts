/**
 * @fileoverview Counts the replies of other processes that are in time, late or
 * missing: late ones tell a busy link from a partition.
 */
import {type Counter} from '@dogwoodtrestle/runtime';

import {type EdgeOptions} from './edgeOptions.js';

/** What became of a call: a reply in time, one after that, or none. */
type ReplyOutcome = 'inTime' | 'late' | 'missing';

/** Counts replies by the method that was called. */
export class ReplyCounter {
  private readonly replies: Counter;

  constructor(
    private readonly options: Pick<EdgeOptions, 'clock' | 'metrics'>,
  ) {
    this.replies = options.metrics.counter(
      'dogwoodtrestle_peer_replies_total',
      'Replies of other processes, by method: in time, late or missing.',
    );
  }

  /**
   * Counts the reply to a call that starts now, and returns the call.
   *
   * @param milliseconds Time after which the reply is late.
   */
  count<T>(method: string, call: Promise<T>, milliseconds: number): Promise<T> {
    const {clock} = this.options;
    const lateAt = clock.now() + milliseconds;
    const add = (outcome: ReplyOutcome) => this.replies.add({method, outcome});
    call.then(
      () => add(clock.now() > lateAt ? 'late' : 'inTime'),
      () => add('missing'),
    );
    return call;
  }
}
