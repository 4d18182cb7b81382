/**
 * @fileoverview Grants routers tokens of the prepaid totals, while this process
 * leads.
 */
import {
  type FleetState,
  GrantPlanner,
  type UsageOutcome,
} from '@dogwoodtrestle/fleet';
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type GrantOffer,
  type RecordUsage,
  type UsageEntry,
  type UsageReply,
  type UsageReport,
} from '@dogwoodtrestle/schema';

import {type ControlGroup} from './controlGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** Answers the routers' reports of what they spent. */
export class GrantDesk {
  private readonly planner: GrantPlanner;

  /** @param routers Peer addresses of the routers heard of lately. */
  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'routerLostAfterMilliseconds'
    > & {logger: Logger},
    private readonly group: ControlGroup,
    private readonly state: FleetState,
    routers: () => readonly string[],
  ) {
    const {routerLostAfterMilliseconds} = options;
    this.planner = new GrantPlanner(state, routers, {
      routerLostAfterMilliseconds,
    });
  }

  async report(report: UsageReport): Promise<UsageReply> {
    const {router, address, isStopping, usages} = report;
    if (!this.group.isLeader) return this.group.hint();
    this.planner.note(router, usages, this.options.clock.now());
    const plans = usages.map(usage =>
      this.planner.plan(address, usage, isStopping),
    );
    await this.record(
      report,
      plans.map(({entry}) => entry),
    );
    const offers = plans.map(({workspace, target}): GrantOffer => {
      const remaining = this.planner.remaining(workspace);
      const account = this.state.prepaid.accounts[workspace];
      return {
        workspace,
        granted: account?.routers[router]?.granted ?? 0,
        target,
        remaining: Math.min(remaining, Number.MAX_SAFE_INTEGER),
      };
    });
    return {kind: 'grants', reportedAt: report.reportedAt, offers};
  }

  private async record(
    {router, life, reportedAt}: UsageReport,
    entries: UsageEntry[],
  ): Promise<void> {
    const command: RecordUsage = {
      kind: 'recordUsage',
      router,
      life,
      reportedAt,
      entries,
    };
    const [outcomes] = await this.group.replica.propose([command]);
    for (const {workspace, granted} of outcomes as UsageOutcome[]) {
      const asked = entries.find(entry => entry.workspace === workspace);
      if (asked === undefined || granted >= asked.grantUpTo) continue;
      this.options.logger.info(
        {
          workspace,
          router,
          granted,
          asked: asked.grantUpTo,
          ...this.planner.summaryOf(workspace),
        },
        'the prepaid total does not cover the grant',
      );
    }
  }
}
