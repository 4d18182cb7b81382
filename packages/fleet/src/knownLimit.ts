/**
 * @fileoverview What a router knows of the limit that one incarnation of a
 * backend server states: the requests per second that it takes of all routers
 * together, for as long as its responses state it.
 *
 * Responses on different connections may overtake each other. So a lower value
 * applies at once, while a higher one and the end of the limit need the response
 * to a request that was sent after the lower value had arrived.
 */

/** Whether this process observed the value itself, or heard of it. */
export type LimitSource = 'response' | 'report';

/** A limit, or its absence. Times are in milliseconds. */
export interface LimitObservation {
  /** Requests per second of all routers; missing where there is no limit. */
  perSecond?: number;
  /** Monotonic time at which a response stated it. */
  observedAt: number;
  source: LimitSource;
}

/** What a response says of the limit. */
export interface LimitStatement {
  /** Requests per second; missing if the value can't be read. */
  perSecond?: number;
}

/** Times of a response, and whether it is certain whose response it is. */
export interface StatementContext {
  sentAt: number;
  now: number;
  isCertain: boolean;
}

/** Change of a known limit. */
export type LimitChange = 'named' | 'changed' | 'ended' | 'unreadable';

/**
 * Lowest limit that is applied. A server without any requests could not state
 * that its limit has ended.
 */
export const minPerSecond = 0.1;

/** Highest limit that is applied, in requests per second. */
export const maxPerSecond = 1_000_000;

/** Age above which a limit that nobody observes any more is dropped. */
const maxAgeMilliseconds = 30_000;

/** Intervals of a limit's requests that are added to that age. */
const maxAgeIntervals = 4;

/** Knowledge of one limit. */
export class KnownLimit {
  private newest?: LimitObservation;

  /** The limit in requests per second; undefined if there is none. */
  get perSecond(): number | undefined {
    return this.newest?.perSecond;
  }

  /** The newest observation, which may be that there is no limit. */
  get observation(): LimitObservation | undefined {
    return this.newest;
  }

  /** Records what a response states; `undefined` if it states no limit. */
  recordResponse(
    stated: LimitStatement | undefined,
    {sentAt, now, isCertain}: StatementContext,
  ): LimitChange | undefined {
    if (stated !== undefined && stated.perSecond === undefined) {
      return 'unreadable';
    }
    const perSecond = clampLimit(stated?.perSecond);
    const known = this.perSecond;
    if (perSecond === undefined && (known === undefined || !isCertain)) {
      return undefined;
    }
    const isHigher = (perSecond ?? Infinity) > (known ?? Infinity);
    if (isHigher && sentAt <= (this.newest?.observedAt ?? -Infinity)) {
      return undefined;
    }
    return this.replace({perSecond, observedAt: now, source: 'response'});
  }

  /** Records what the control processes report; an older observation is dropped. */
  recordReport(
    perSecond: number | undefined,
    observedAt: number,
  ): LimitChange | undefined {
    const known = this.newest;
    if (observedAt <= (known?.observedAt ?? -Infinity)) return undefined;
    const next = clampLimit(perSecond);
    const source =
      known !== undefined && next === known.perSecond ? known.source : 'report';
    return this.replace({perSecond: next, observedAt, source});
  }

  /** Drops a limit that was not observed for long. */
  expire(now: number): LimitChange | undefined {
    const {newest} = this;
    if (newest?.perSecond === undefined) return undefined;
    const age = now - newest.observedAt;
    if (age <= maxLimitAge(newest.perSecond)) return undefined;
    return this.replace({observedAt: newest.observedAt, source: newest.source});
  }

  private replace(next: LimitObservation): LimitChange | undefined {
    const known = this.perSecond;
    this.newest = next;
    if (next.perSecond === known) return undefined;
    if (known === undefined) return 'named';
    return next.perSecond === undefined ? 'ended' : 'changed';
  }
}

/** Returns the age above which a limit is dropped, in milliseconds. */
export function maxLimitAge(perSecond: number): number {
  return maxAgeMilliseconds + (maxAgeIntervals * 1_000) / perSecond;
}

function clampLimit(perSecond: number | undefined): number | undefined {
  if (perSecond === undefined) return undefined;
  return Math.min(maxPerSecond, Math.max(minPerSecond, perSecond));
}
