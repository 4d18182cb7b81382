/**
 * @fileoverview Grants routers tokens of the prepaid totals, while this process
 * leads. Demand is soft state of the leader; what was granted is replicated.
 */
import {
  type FleetState,
  grantTarget,
  type RouterTotals,
  ungranted,
  type UsageOutcome,
} from '@dogwoodtrestle/fleet';
import {type Logger} from '@dogwoodtrestle/runtime';
import {
  type GrantOffer,
  type RecordUsage,
  type UsageEntry,
  type UsageReply,
  type UsageReport,
  type WorkspaceUsage,
} from '@dogwoodtrestle/schema';

import {type ControlGroup} from './controlGroup.js';
import {type ControlOptions} from './controlOptions.js';

/** What a router reported of a workspace last. */
interface Demand {
  usage: WorkspaceUsage;
  heardAt: number;
}

/** A plan for one usage of a report. */
interface Plan {
  usage: WorkspaceUsage;
  target: number;
  grantUpTo: number;
}

/** Answers the routers' reports of what they spent. */
export class GrantDesk {
  /** Demand by workspace and router. */
  private readonly demands = new Map<string, Map<string, Demand>>();

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'routerLostAfterMilliseconds'
    > & {logger: Logger},
    private readonly group: ControlGroup,
    private readonly state: FleetState,
  ) {}

  async report(report: UsageReport): Promise<UsageReply> {
    const {router, isStopping, usages} = report;
    if (!this.group.isLeader) return this.group.hint();
    const now = this.options.clock.now();
    for (const usage of usages) this.note(router, usage, now);
    const plans = usages.map(usage =>
      this.plan(router, usage, isStopping, now),
    );
    await this.record(report, plans.map(entryOf));
    const offers = plans.map(plan => this.offer(router, plan));
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
          ...this.summaryOf(workspace),
        },
        'the prepaid total does not cover the grant',
      );
    }
  }

  private note(router: string, usage: WorkspaceUsage, now: number): void {
    let routers = this.demands.get(usage.workspace);
    if (routers === undefined) {
      routers = new Map();
      this.demands.set(usage.workspace, routers);
    }
    routers.set(router, {usage, heardAt: now});
    const oldest = now - this.options.routerLostAfterMilliseconds;
    for (const [name, {heardAt}] of routers) {
      if (heardAt < oldest) routers.delete(name);
    }
  }

  private plan(
    router: string,
    usage: WorkspaceUsage,
    isStopping: boolean,
    now: number,
  ): Plan {
    const routers = this.demands.get(usage.workspace);
    const demand = {
      rate: usage.rate,
      totalRate: [...(routers?.values() ?? [])].reduce(
        (sum, demand) => sum + demand.usage.rate,
        0,
      ),
      routers: this.liveRouters(now),
      ungranted: this.ungranted(usage.workspace),
      held: this.heldOf(usage.workspace),
      wantedElsewhere: [...(routers ?? [])].reduce(
        (sum, [name, demand]) =>
          name === router ? sum : sum + demand.usage.wanted,
        0,
      ),
    };
    const target = isStopping ? 0 : grantTarget(demand);
    const needed = usage.wanted > 0 ? usage.reserved + usage.wanted : 0;
    const unspent = Math.max(target, needed);
    const grantUpTo = Math.ceil(usage.spent + usage.returned + unspent);
    return {usage, target, grantUpTo};
  }

  private liveRouters(now: number): number {
    const oldest = now - this.options.routerLostAfterMilliseconds;
    const live = new Set<string>();
    for (const routers of this.demands.values()) {
      for (const [router, {heardAt}] of routers) {
        if (heardAt >= oldest) live.add(router);
      }
    }
    return live.size;
  }

  private offer(router: string, {usage, target}: Plan): GrantOffer {
    const {workspace} = usage;
    const remaining = this.ungranted(workspace) + this.heldOf(workspace);
    return {
      workspace,
      granted: this.totalsOf(router, workspace)?.granted ?? 0,
      target,
      remaining: Math.min(remaining, Number.MAX_SAFE_INTEGER),
    };
  }

  private ungranted(workspace: string): number {
    return ungranted(
      this.state.prepaid.accounts[workspace],
      this.state.prepaidOf(workspace),
    );
  }

  /** Unspent tokens that live routers hold. */
  private heldOf(workspace: string): number {
    let held = 0;
    for (const [router, {usage}] of this.demands.get(workspace) ?? []) {
      const totals = this.totalsOf(router, workspace);
      if (totals === undefined) continue;
      const spent = Math.max(totals.spent, usage.spent);
      held += Math.max(0, totals.granted - totals.returned - spent);
    }
    return held;
  }

  /** Where the tokens of a workspace are. */
  private summaryOf(workspace: string): object {
    const account = this.state.prepaid.accounts[workspace];
    const routers = Object.entries(account?.routers ?? {});
    const live = this.demands.get(workspace);
    let spent = 0;
    let unaccounted = 0;
    for (const [router, totals] of routers) {
      spent += totals.spent;
      if (live?.has(router) === true) continue;
      unaccounted += totals.granted - totals.returned - totals.spent;
    }
    return {
      prepaid: this.state.prepaidOf(workspace),
      committed: account?.committed ?? 0,
      held: this.heldOf(workspace),
      spent,
      /** Unspent grants of routers that are gone or out of reach. */
      unaccounted,
    };
  }

  private totalsOf(
    router: string,
    workspace: string,
  ): RouterTotals | undefined {
    return this.state.prepaid.accounts[workspace]?.routers[router];
  }
}

function entryOf({usage, grantUpTo}: Plan): UsageEntry {
  const {workspace, spent, returned, reserved, wanted, cover} = usage;
  const committed = spent + reserved + wanted;
  return {workspace, spent, returned, committed, cover, grantUpTo};
}
