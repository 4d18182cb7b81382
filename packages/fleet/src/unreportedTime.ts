/**
 * @fileoverview Bounds the time for which a router's life went on after its
 * newest recorded promise, once another life has started on its instance.
 *
 * A killed process leaves the instance's steady clock, which measures the time.
 * A loss of power does not, though a virtual machine may keep the clock's name.
 * Then wall clocks measure it: the instance's own, and those of the leaders that
 * recorded the promise and the new life. Any of them may have been set back
 * meanwhile, so the longest time counts; a leader that led all along adds its
 * steady clock.
 */
import {type ClockReading, type RouterLife} from '@dogwoodtrestle/schema';

/** When a promise was made, by all clocks that are known to the router. */
export interface CommitmentTime {
  /** By the steady clock of the instance. */
  at: number;
  /** By the wall clock of the instance. */
  wallAt?: number;
  /** By the leader's clock, or earlier. */
  leaderTime?: ClockReading;
}

/** What bounds the time. */
export type UnreportedTimeBasis = 'steadyClock' | 'wallClocks' | 'none';

/** Most time that may have passed. */
export interface UnreportedTime {
  basis: UnreportedTimeBasis;
  /** Missing where nothing bounds the time. */
  milliseconds?: number;
}

/** Difference of two readings of a steady clock that is no time at all. */
const steadyMarginMilliseconds = 20;

/** Difference of the wall clocks of two instances that is no time at all. */
const wallMarginMilliseconds = 200;

/**
 * Time by which a steady clock may exceed the wall clocks and still count as the
 * same. Wall clocks are set back by seconds; a clock that started anew reads
 * something between zero and the uptime of its host.
 */
const maxDisagreementMilliseconds = 60_000;

/** The first report of the life that ended another one. */
export interface SuccessorReport {
  life: RouterLife;
  /** By the steady clock of the instance, where it is known. */
  reportedAt?: number;
  /** By the leader's clock, once the report had come. */
  recordedAt?: ClockReading;
}

/** Returns the most time between a life's newest promise and its end. */
export function boundUnreportedTime(
  life: RouterLife,
  promise: CommitmentTime,
  report: SuccessorReport,
): UnreportedTime {
  const byWall = spanByWallClocks(promise, report);
  const successor = report.life;
  const steady = successor.startedAt - promise.at;
  if (life.clock === successor.clock && steady >= 0) {
    const milliseconds = steady + steadyMarginMilliseconds;
    const {milliseconds: longest = Infinity} = byWall;
    if (milliseconds - longest <= maxDisagreementMilliseconds) {
      return {basis: 'steadyClock', milliseconds};
    }
  }
  return byWall;
}

function spanByWallClocks(
  {wallAt, leaderTime}: CommitmentTime,
  {life, reportedAt, recordedAt}: SuccessorReport,
): UnreportedTime {
  const {startedAt, wallStartedAt} = life;
  if (wallAt === undefined || wallStartedAt === undefined) return unbounded;
  if (leaderTime === undefined || recordedAt === undefined) return unbounded;
  // Finding a leader can take longer than the outage, and doesn't count.
  const age = Math.max(0, (reportedAt ?? startedAt) - startedAt);
  const longest = Math.max(
    wallStartedAt - wallAt,
    recordedAt.wall - age - leaderTime.wall,
    recordedAt.clock === leaderTime.clock
      ? recordedAt.steady - age - leaderTime.steady
      : -Infinity,
  );
  if (longest < 0) return unbounded;
  const milliseconds = longest + wallMarginMilliseconds;
  return {basis: 'wallClocks', milliseconds};
}

const unbounded: UnreportedTime = {basis: 'none'};
