/**
 * @fileoverview Plans the grants of routers from what they reported. Demand is
 * soft state of the leader; what was granted is in the replicated book.
 */
import {type UsageEntry, type WorkspaceUsage} from '@dogwoodtrestle/schema';

import {
  defaultGrantSizingOptions,
  type GrantSizingOptions,
  grantTarget,
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

/** A plan for one usage of a report. */
export interface GrantPlan {
  workspace: string;
  /** Unspent tokens that the router should hold. */
  target: number;
  entry: UsageEntry;
}

/** Where the tokens of a workspace are, by the newest reports. */
export interface WorkspaceSummary {
  prepaid: number;
  /** Granted and not returned. */
  committed: number;
  /** Used by requests. */
  used: number;
  /** Unspent at live routers. */
  held: number;
  /** Lent, and not yet reported by a borrower. */
  underWay: number;
  /** Unspent grants of routers that are gone or out of reach. */
  unaccounted: number;
}

/** One life of a router, and its address for calls of other processes. */
export interface PlannedRouter {
  router: string;
  address: string;
}

/** The replicated state that plans rest on. */
export interface PlannerState {
  readonly prepaid: Readonly<PrepaidState>;
  prepaidOf(workspace: string): number;
}

export interface GrantPlannerOptions {
  /** Time without a report after which a router counts as gone. */
  routerLostAfterMilliseconds: number;
  sizing: GrantSizingOptions;
}

const defaultOptions: GrantPlannerOptions = {
  routerLostAfterMilliseconds: 5_000,
  sizing: defaultGrantSizingOptions,
};

/** Sizes the grants of all routers. */
export class GrantPlanner {
  private readonly options: GrantPlannerOptions;
  private readonly demands = new Map<string, WorkspaceDemand>();
  private readonly holders = new TokenHolders();
  private readonly lost: LostRouters;

  constructor(
    private readonly state: PlannerState,
    /** Peer addresses of the routers heard of lately. */
    private readonly routers: () => readonly string[],
    options: Partial<GrantPlannerOptions> = {},
  ) {
    this.options = {...defaultOptions, ...options};
    const {routerLostAfterMilliseconds} = this.options;
    this.lost = new LostRouters(routerLostAfterMilliseconds);
  }

  /** Takes over what a router reported. */
  recordReport(
    router: string,
    usages: readonly WorkspaceUsage[],
    now: number,
  ): void {
    this.lost.heard(router, now, this.state.prepaid);
    const oldest = now - this.options.routerLostAfterMilliseconds;
    for (const usage of usages) {
      let demand = this.demands.get(usage.workspace);
      if (demand === undefined) {
        demand = new WorkspaceDemand();
        this.demands.set(usage.workspace, demand);
      }
      demand.note(router, usage, now);
      demand.expire(oldest);
    }
  }

  /** Plans what a router at a peer address gets for a usage it reported. */
  plan(
    {router, address}: PlannedRouter,
    usage: WorkspaceUsage,
    isStopping: boolean,
  ): GrantPlan {
    const {workspace, used, lent, borrowed, returned} = usage;
    const {reserved, wanted, cover} = usage;
    const target = isStopping ? 0 : this.targetOf(router, address, usage);
    const needed = wanted > 0 ? reserved + wanted : 0;
    const gone = goneOf(usage);
    return {
      workspace,
      target,
      entry: {
        workspace,
        used,
        lent,
        borrowed,
        returned,
        committed: used + lent + reserved + wanted,
        cover,
        grantUpTo: Math.max(0, Math.ceil(gone + Math.max(target, needed))),
      },
    };
  }

  /** Unspent tokens of a workspace, wherever they are. */
  remaining(workspace: string): number {
    return this.ungranted(workspace) + this.held(workspace);
  }

  /** Where the tokens of a workspace are. */
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

  private targetOf(
    router: string,
    address: string,
    usage: WorkspaceUsage,
  ): number {
    const {workspace, rate} = usage;
    const demand = this.demands.get(workspace);
    const holders = this.holders.of(workspace, this.routers());
    return grantTarget(
      {
        rate,
        totalRate: demand?.rate ?? rate,
        recentTotalRate: demand?.recentRate ?? rate,
        isHolder: holders.includes(address),
        holders: holders.length,
        ungranted: this.ungranted(workspace),
        held: this.held(workspace) - this.unrecorded(router, usage),
      },
      this.options.sizing,
    );
  }

  /** Tokens that a report names as gone, and the books don't yet. */
  private unrecorded(router: string, usage: WorkspaceUsage): number {
    const account = this.state.prepaid.accounts[usage.workspace];
    const totals = account?.routers[router];
    if (totals === undefined) return 0;
    return Math.max(0, goneOf(usage) - goneOf(totals));
  }

  private ungranted(workspace: string): number {
    return ungranted(
      this.state.prepaid.accounts[workspace],
      this.state.prepaidOf(workspace),
    );
  }

  /** Unspent tokens that live routers hold. */
  private held(workspace: string): number {
    const account = this.state.prepaid.accounts[workspace];
    if (account === undefined) return 0;
    return Math.max(0, heldOf(account) - this.lostTokens(workspace));
  }

  /** Unspent tokens of routers that are out of reach. */
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

/** Tokens that a router no longer has, beyond those that it borrowed. */
function goneOf({
  used,
  lent,
  borrowed,
  returned,
}: Pick<WorkspaceUsage, 'used' | 'lent' | 'borrowed' | 'returned'>): number {
  return used + lent + returned - borrowed;
}
