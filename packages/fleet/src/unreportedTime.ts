/**
 * @fileoverview Bounds the time for which a router incarnation may have run
 * after its newest recorded commitment, once another incarnation has started on
 * its instance.
 *
 * The instance's monotonic clock continues when only the process is killed, and
 * measures the time. It starts anew after a power loss, though a virtual machine
 * may keep the clock's id. The time is then measured by wall clocks: the
 * instance's own, and those of the leaders that recorded the commitment and the
 * new incarnation. Any of them may have been set back in between, so the longest
 * of these times counts. If the same leader recorded both, its monotonic clock
 * is used as well.
 */
import {type ClockReading, type RouterLife} from '@dogwoodtrestle/schema';

/** Time of a commitment by each clock that the router can read. */
export interface CommitmentTime {
  /** By the monotonic clock of the instance, in milliseconds. */
  at: number;
  /** By the wall clock of the instance, in Unix milliseconds. */
  wallAt?: number;
  /** By the leader's clocks; never later than the commitment. */
  leaderTime?: ClockReading;
}

/** Clocks that bound the time. */
export type UnreportedTimeBasis = 'steadyClock' | 'wallClocks' | 'none';

/** Upper bound of the time that an incarnation ran unreported. */
export interface UnreportedTime {
  basis: UnreportedTimeBasis;
  /** Missing where nothing bounds the time. */
  milliseconds?: number;
}

/** Tolerated error between two readings of one monotonic clock. */
const monotonicToleranceMilliseconds = 20;

/** Tolerated difference between the wall clocks of two instances. */
const wallToleranceMilliseconds = 200;

/**
 * Time by which a monotonic clock may exceed the wall clocks and still count as
 * the same clock. Wall clocks are set back by seconds; a monotonic clock that
 * started anew reads anything between zero and the uptime of its host.
 */
const maxDisagreementMilliseconds = 60_000;

/** The first report of the incarnation that ended another one. */
export interface SuccessorReport {
  life: RouterLife;
  /** By the monotonic clock of the instance, in milliseconds, if known. */
  reportedAt?: number;
  /** By the leader's clocks, after it received the report. */
  recordedAt?: ClockReading;
}

/**
 * Returns an upper bound of the time between an incarnation's newest commitment
 * and its end.
 */
export function boundUnreportedTime(
  life: RouterLife,
  commitment: CommitmentTime,
  report: SuccessorReport,
): UnreportedTime {
  const byWall = timeByWallClocks(commitment, report);
  const successor = report.life;
  const steady = successor.startedAt - commitment.at;
  if (life.clock === successor.clock && steady >= 0) {
    const milliseconds = steady + monotonicToleranceMilliseconds;
    const {milliseconds: longest = Infinity} = byWall;
    if (milliseconds - longest <= maxDisagreementMilliseconds) {
      return {basis: 'steadyClock', milliseconds};
    }
  }
  return byWall;
}

function timeByWallClocks(
  {wallAt, leaderTime}: CommitmentTime,
  {life, reportedAt, recordedAt}: SuccessorReport,
): UnreportedTime {
  const {startedAt, wallStartedAt} = life;
  if (wallAt === undefined || wallStartedAt === undefined) return unbounded;
  if (leaderTime === undefined || recordedAt === undefined) return unbounded;
  // The time that the new incarnation took to find a leader doesn't count; it
  // can be longer than the outage.
  const age = Math.max(0, (reportedAt ?? startedAt) - startedAt);
  const longest = Math.max(
    wallStartedAt - wallAt,
    recordedAt.wall - age - leaderTime.wall,
    recordedAt.clock === leaderTime.clock
      ? recordedAt.steady - age - leaderTime.steady
      : -Infinity,
  );
  if (longest < 0) return unbounded;
  const milliseconds = longest + wallToleranceMilliseconds;
  return {basis: 'wallClocks', milliseconds};
}

const unbounded: UnreportedTime = {basis: 'none'};
