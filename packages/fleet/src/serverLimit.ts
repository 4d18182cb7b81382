/**
 * @fileoverview All that limits the requests of this router to one server: the
 * limit that the server states, and the one that holds while it is cold. The
 * smaller one counts.
 */
import {type ColdLimit} from './coldLimit.js';
import {type ColdCause} from './coldPeriod.js';
import {type LimitView, type RequestLimit} from './requestLimit.js';

/** The limit that decided over a request, for logs. */
export interface ServerLimitView extends LimitView {
  /** Why the server counts as cold; missing if it is warm or states less. */
  cold?: ColdCause;
}

/** Both limits. Times are in milliseconds. */
export class ServerLimit {
  constructor(
    readonly stated: RequestLimit,
    readonly cold: ColdLimit,
  ) {}

  /** Whether a request may be sent. */
  admits(now: number): boolean {
    return this.stated.admits(now) && this.cold.waitMilliseconds(now) === 0;
  }

  /** Whether the server states a limit and a request would be lost. */
  isDue(now: number): boolean {
    return this.stated.isDue(now) && this.cold.waitMilliseconds(now) === 0;
  }

  /** Takes a request of an attempt that begins; {@link admits} must hold. */
  take(attempt: object, now: number): void {
    this.stated.take(now);
    this.cold.take(attempt, now);
  }

  /** Returns the time after which a refused request may be sent. */
  retryMilliseconds(now: number): number {
    return Math.max(
      this.stated.retryMilliseconds(now),
      this.cold.retryMilliseconds(now),
    );
  }

  /** Returns the limit that decides; undefined if there is none. */
  view(now: number): ServerLimitView | undefined {
    const stated = this.stated.view(now);
    const cold = this.cold.active(now);
    if (cold === undefined) return stated;
    const isStatedLess =
      stated !== undefined &&
      this.stated.allowedRate(now) < cold.allowedRate(now);
    if (isStatedLess) return stated;
    const view = cold.view(now);
    const period = this.cold.view(now);
    if (view === undefined || period === undefined) return stated;
    const {cause, ageMilliseconds} = period;
    return {...view, ageMilliseconds, cold: cause};
  }
}
