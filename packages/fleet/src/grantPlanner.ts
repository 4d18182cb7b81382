/**
 * @fileoverview Plans the grants of routers from their usage reports. Demand is
 * kept in the leader's memory only; granted totals are in the replicated state.
 */
import {type UsageEntry, type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {
  defaultGrantSizingOptions,
  type GrantSizingOptions,
  grantTarget,
  pacedShareOf,
} from './grantSizing.js';
import {LostRouters} from './lostRouters.js';
import {
  heldOf,
  type PrepaidState,
  ungranted,
  unspentOf,
} from './prepaidAccounts.js';
import {TokenHolders} from './tokenHolders.js';
import {WorkspaceDemand} from './workspaceDemand.js';

/** Planned grant for one workspace of a report. */
export interface GrantPlan {
  workspace: string;
  /** Unspent tokens that the router should hold. */
  target: number;
  /** Share of them that may be spent at the pace of demand. */
  pacedShare: number;
  /** Entry to append to the replicated log. */
  entry: UsageEntry;
}

/** Distribution of a workspace's tokens by the newest reports. */
export interface WorkspaceSummary {
  /** Infinity where the total is unlimited. */
  prepaid: number;
  /** Granted and not returned. */
  committed: number;
  /** Used by requests. */
  used: number;
  /** Unspent at routers that report. */
  held: number;
  /** Lent, and not yet reported by the borrower. */
  underWay: number;
  /** Unspent grants of routers that ended or are unreachable. */
  unaccounted: number;
}

/** A router incarnation and its address for calls of other processes. */
export interface PlannedRouter {
  router: string;
  address: string;
}

/** The replicated state that a grant planner reads. */
export interface PlannerState {
  readonly prepaid: Readonly<PrepaidState>;
  /** Prepaid total in tokens; Infinity where it is unlimited. */
  prepaidOf(workspace: string): number;
}

/** Options of a grant planner. */
export interface GrantPlannerOptions {
  /** Time without a report after which a router counts as unreachable. */
  routerLostAfterMilliseconds: number;
  sizing: GrantSizingOptions;
}

const defaultOptions: GrantPlannerOptions = {
  routerLostAfterMilliseconds: 5_000,
  sizing: defaultGrantSizingOptions,
};

/** Sizes the grants of all routers. Times are in milliseconds of one clock. */
export class GrantPlanner {
  private readonly options: GrantPlannerOptions;
  private readonly demands = new Map<string, WorkspaceDemand>();
  private readonly holders = new TokenHolders();
  private readonly lost: LostRouters;
  /** Time of the newest report. */
  private now = 0;

  constructor(
    private readonly state: PlannerState,
    /** Peer addresses of the routers that are currently known. */
    private readonly routers: () => readonly string[],
    options: Partial<GrantPlannerOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
    const {routerLostAfterMilliseconds} = this.options;
    this.lost = new LostRouters(routerLostAfterMilliseconds);
  }

  /**
   * Starts a term of leadership, if it has not started yet.
   *
   * @param term Term of the replicated log in which this process leads.
   */
  enterTerm(term: number, now: number): void {
    this.lost.enterTerm(term, now);
  }

  /** Records the demand that a router reported. */
  recordReport(
    router: string,
    usages: readonly WorkspaceUsage[],
    now: number,
  ): void {
    this.now = now;
    this.lost.recordReport(router, now, this.state.prepaid);
    const oldest = now - this.options.routerLostAfterMilliseconds;
    for (const usage of usages) {
      let demand = this.demands.get(usage.workspace);
      if (demand === undefined) {
        demand = new WorkspaceDemand();
        this.demands.set(usage.workspace, demand);
      }
      demand.record(router, usage, now);
      const account = this.state.prepaid.accounts[usage.workspace];
      demand.recordUse(account?.used ?? 0, now);
      demand.expire(oldest);
    }
  }

  /**
   * Plans the grant for one workspace that a router reported.
   *
   * @param isStopping Whether the router is shutting down; it then gets only
   *     what its waiting requests need.
   */
  plan(
    {router, address}: PlannedRouter,
    usage: WorkspaceUsage,
    isStopping: boolean,
  ): GrantPlan {
    const {workspace, used, lent, borrowed, returned} = usage;
    const {reserved, wanted, cover, paced} = usage;
    const target = isStopping ? 0 : this.targetOf(router, address, usage);
    const needed = wanted > 0 ? reserved + wanted : 0;
    const deducted = deductedOf(usage);
    return {
      workspace,
      target,
      pacedShare: this.pacedShareOf(workspace),
      entry: {
        workspace,
        used,
        lent,
        borrowed,
        returned,
        committed: used + lent + reserved + wanted,
        waiting: wanted,
        cover,
        paced,
        grantUpTo: Math.max(0, Math.ceil(deducted + Math.max(target, needed))),
      },
    };
  }

  /** Unspent tokens of a workspace: those not granted and those held. */
  remaining(workspace: string): number {
    return this.ungranted(workspace) + this.held(workspace);
  }

  /** Returns the distribution of a workspace's tokens. */
  summaryOf(workspace: string): WorkspaceSummary {
    const account = this.state.prepaid.accounts[workspace];
    const {committed = 0, used = 0, lent = 0, borrowed = 0} = account ?? {};
    return {
      prepaid: this.state.prepaidOf(workspace),
      committed,
      used,
      held: this.held(workspace),
      underWay: lent - borrowed,
      unaccounted: (account?.forfeited ?? 0) + this.lostTokens(workspace),
    };
  }

  private pacedShareOf(workspace: string): number {
    const demand = this.demands.get(workspace);
    return pacedShareOf(
      {
        totalRate: demand?.rate ?? 0,
        recentTotalRate: demand?.recentRate ?? 0,
        ungranted: this.ungranted(workspace),
        held: this.held(workspace),
        use: demand?.useAt(this.now),
      },
      this.state.prepaidOf(workspace),
      this.options.sizing,
    );
  }

  private targetOf(
    router: string,
    address: string,
    usage: WorkspaceUsage,
  ): number {
    const {workspace, rate} = usage;
    const demand = this.demands.get(workspace);
    const routers = this.routers();
    const holders = this.holders.of(workspace, routers);
    return grantTarget(
      {
        rate,
        totalRate: demand?.rate ?? rate,
        recentTotalRate: demand?.recentRate ?? rate,
        concentration: demand?.concentration(routers.length) ?? 0,
        isHolder: holders.includes(address),
        holders: holders.length,
        ungranted: this.ungranted(workspace),
        held: this.held(workspace) - this.unrecorded(router, usage),
      },
      this.options.sizing,
    );
  }

  /** Tokens that a report deducts and the recorded totals don't yet. */
  private unrecorded(router: string, usage: WorkspaceUsage): number {
    const account = this.state.prepaid.accounts[usage.workspace];
    const totals = account?.routers[router];
    if (totals === undefined) return 0;
    return Math.max(0, deductedOf(usage) - deductedOf(totals));
  }

  private ungranted(workspace: string): number {
    return ungranted(
      this.state.prepaid.accounts[workspace],
      this.state.prepaidOf(workspace),
    );
  }

  /** Unspent tokens of reachable routers. */
  private held(workspace: string): number {
    const account = this.state.prepaid.accounts[workspace];
    if (account === undefined) return 0;
    return Math.max(0, heldOf(account) - this.lostTokens(workspace));
  }

  /** Unspent tokens of unreachable routers. */
  private lostTokens(workspace: string): number {
    const routers = this.state.prepaid.accounts[workspace]?.routers ?? {};
    let tokens = 0;
    for (const router of this.lost.routers) {
      const totals = routers[router];
      if (totals !== undefined) tokens += unspentOf(totals);
    }
    return tokens;
  }
}

/** Tokens deducted from a router's grants: spent, lent or returned, net of loans. */
function deductedOf({
  used,
  lent,
  borrowed,
  returned,
}: Pick<WorkspaceUsage, 'used' | 'lent' | 'borrowed' | 'returned'>): number {
  return used + lent + returned - borrowed;
}
