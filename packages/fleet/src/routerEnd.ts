/**
 * @fileoverview Records that a router's process has ended, without waiting for
 * its successor.
 *
 * The time from the last commitment to a successor's start counts as time of
 * spending, although the process was down for most of it. A proof that it had
 * ended by an earlier time returns more of its tokens, and returns them even if
 * no successor ever starts.
 *
 * An incarnation whose process runs after all goes on as another one, and what it
 * spent beyond the tokens that it kept is recorded as spent by then.
 */
import {
  type ClockReading,
  type RecordUsage,
  type RouterLife,
} from '@dogwoodtrestle/schema';

import {type Overspend, type PrepaidState} from './prepaidAccounts.js';

/** Suffix of the incarnation that is recorded in place of a successor. */
const endSuffix = '/ended';

/** Suffix of the incarnation that has what an ended one overspent. */
const excessSuffix = '/excess';

/**
 * Returns the command that ends a router incarnation; undefined if it is not
 * known or has ended, or if the two times can't be compared.
 *
 * The command is a first report of an incarnation that never gets tokens, so that
 * control processes of earlier versions apply it as well.
 *
 * @param endedBy Reading of the leader's clock after the process had ended.
 */
export function endOfRouter(
  {routers}: Readonly<PrepaidState>,
  router: string,
  endedBy: ClockReading,
): RecordUsage | undefined {
  const incarnation = routers[router];
  if (incarnation === undefined || incarnation.isOver) return undefined;
  const {life, promisedAt} = incarnation;
  const {at, leaderTime} = promisedAt;
  // Without the same monotonic clock, a successor gives the better bound.
  if (leaderTime?.clock !== endedBy.clock) return undefined;
  // The monotonic clock stands still while its host is suspended.
  const elapsed = Math.max(
    0,
    endedBy.steady - leaderTime.steady,
    endedBy.wall - leaderTime.wall,
  );
  const {instance, clock} = life;
  return {
    kind: 'recordUsage',
    router: `${router}${endSuffix}`,
    life: {instance, clock, startedAt: Math.ceil(at + elapsed)},
    entries: [],
  };
}

/**
 * Whether another process runs as an instance, as far as is recorded: a process
 * whose incarnation was recorded as ended must not go on as another one then.
 *
 * @param ended The incarnation that was recorded as ended.
 */
export function hasOtherProcess(
  {routers}: Readonly<PrepaidState>,
  instance: string,
  ended: string,
): boolean {
  return Object.entries(routers).some(
    ([router, {life, isOver}]) =>
      life.instance === instance &&
      router !== ended &&
      !isOver &&
      !isEndRecord(router),
  );
}

/**
 * Returns the command that counts what an ended incarnation overspent as granted
 * and used, as far as the total has it, so that it isn't granted to others as well.
 *
 * The command is a report of an incarnation of an instance that no process runs
 * as, so that control processes of earlier versions apply it as well.
 */
export function recordExcess(
  router: string,
  life: RouterLife,
  breaches: readonly Overspend[],
): RecordUsage {
  return {
    kind: 'recordUsage',
    router: `${router}${excessSuffix}`,
    life: {...life, instance: `${life.instance}${excessSuffix}`},
    entries: breaches.map(({workspace, excess}) => ({
      workspace,
      used: excess,
      lent: 0,
      borrowed: 0,
      returned: 0,
      committed: excess,
      cover: 0,
      paced: 0,
      grantUpTo: excess,
    })),
  };
}

/** Whether an incarnation was recorded by `endOfRouter`. */
export function isEndRecord(router: string): boolean {
  return router.endsWith(endSuffix);
}
