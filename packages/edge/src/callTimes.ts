/**
 * @fileoverview When a router makes another call to a control process, by the
 * usual delay of its replies. All times are in milliseconds.
 */
import {type EdgeOptions} from './edgeOptions.js';

/** Minimum time between calls to a process that ask for an immediate reply. */
const minAskIntervalMilliseconds = 300;

/** Minimum time after which a reply that is due is late. */
const minReplyMarginMilliseconds = 150;

/** Factor of the usual delay after which a call makes room for another one. */
const patienceFactor = 3;

/** Intervals and timeouts that follow the usual delay of replies. */
export class CallTimes {
  /** @param usualDelay Returns the usual delay of replies to reports. */
  constructor(
    private readonly options: Pick<
      EdgeOptions,
      'longPollMilliseconds' | 'watchTimeoutMilliseconds'
    >,
    private readonly usualDelay: () => number,
  ) {}

  /** Time between calls to a process that ask for an immediate reply. */
  get askInterval(): number {
    return Math.max(minAskIntervalMilliseconds, 2 * this.usualDelay());
  }

  /** Time after which such a call without a reply makes room for another one. */
  get askPatience(): number {
    // The usual delay rises slowly once a link is busy.
    const {watchTimeoutMilliseconds} = this.options;
    return Math.max(
      watchTimeoutMilliseconds,
      patienceFactor * this.usualDelay(),
    );
  }

  /** Time after which a reply that is due is late. */
  get replyMargin(): number {
    const {watchTimeoutMilliseconds, longPollMilliseconds} = this.options;
    return Math.min(
      watchTimeoutMilliseconds - longPollMilliseconds,
      Math.max(minReplyMarginMilliseconds, 2 * this.usualDelay()),
    );
  }

  /** Time after which the reply to a long poll is late. */
  get pollTimeout(): number {
    return this.options.longPollMilliseconds + this.replyMargin;
  }
}
