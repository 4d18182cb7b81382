/** @fileoverview Steps of time in which a day of the grant model is played. */
import {type TimeSpan} from './grantDayTypes.js';

/** Length of a step. */
export const tickMilliseconds = 20;

/** Whether a time is in a span. */
export function isWithin(now: number, {from, to}: TimeSpan): boolean {
  return now >= from && now < to;
}

/** Whether the step that starts now contains a time. */
export function isTick(now: number, at: number): boolean {
  return now <= at && at < now + tickMilliseconds;
}
