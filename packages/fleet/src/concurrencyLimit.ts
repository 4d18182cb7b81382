/**
 * @fileoverview Limits the requests that a router runs at once, by how busy its
 * processor is with those that it runs.
 *
 * Pattern: adaptive concurrency limit. One customer's load may reach a single
 * router, whose processor then falls behind: requests wait unread until their
 * callers leave, and the events of open streams come late. The limit is the
 * number of requests that would keep the processor at a target, as each sample
 * of utilization and open requests tells. Workspaces that hold well under an
 * equal share are served beyond it, so that one workspace's surge does not
 * refuse the others.
 */

export interface ConcurrencyLimitOptions {
  /** Utilization of the processor, 0 to 1, from which there is a limit. */
  targetUtilization: number;
  /** Requests that always may run at once. */
  minOpenRequests: number;
  /** Part of an equal share that a workspace gets also beyond the limit. */
  fairShareFactor: number;
  /** Time over which samples are averaged. */
  averageMilliseconds: number;
}

export const defaultConcurrencyLimitOptions: ConcurrencyLimitOptions = {
  // Above it the queueing time of a single server grows past five services.
  targetUtilization: 0.85,
  // Fewer streams than a third of a core relays, so that refusals, which cost
  // time as well, can't bring the limit down to nothing.
  minOpenRequests: 16,
  // All workspaces together then go beyond the limit by half at the most.
  fairShareFactor: 0.5,
  // A pause for garbage or a new configuration is shorter; callers give up a
  // request that isn't read after a second.
  averageMilliseconds: 200,
};

/** Open requests of a router, and how many there may be. */
export class ConcurrencyLimit {
  private readonly options: ConcurrencyLimitOptions;
  private readonly openByWorkspace = new Map<string, number>();
  private openRequests = 0;
  private averageOpen = 0;
  private averageUtilization = 0;

  constructor(options: Partial<ConcurrencyLimitOptions> = {}) {
    this.options = {...defaultConcurrencyLimitOptions, ...options};
  }

  /** Requests that run now. */
  get open(): number {
    return this.openRequests;
  }

  /** Utilization of the processor, 0 to 1, averaged. */
  get utilization(): number {
    return this.averageUtilization;
  }

  /** Requests that may run at once. */
  get limit(): number {
    const {minOpenRequests, targetUtilization} = this.options;
    if (this.averageUtilization < targetUtilization) return Infinity;
    const fitting =
      (this.averageOpen * targetUtilization) / this.averageUtilization;
    return Math.max(minOpenRequests, fitting);
  }

  /**
   * Takes over the utilization of the processor, 0 to 1, of a time in
   * milliseconds.
   */
  observe(utilization: number, milliseconds: number): void {
    const {averageMilliseconds} = this.options;
    const weight = 1 - Math.exp(-milliseconds / averageMilliseconds);
    this.averageOpen += weight * (this.openRequests - this.averageOpen);
    this.averageUtilization += weight * (utilization - this.averageUtilization);
  }

  /** Whether one more request of a workspace may run. */
  admits(workspace: string): boolean {
    const {limit} = this;
    if (this.openRequests < limit) return true;
    const own = this.openByWorkspace.get(workspace) ?? 0;
    const workspaces = this.openByWorkspace.size + (own === 0 ? 1 : 0);
    return own < (limit * this.options.fairShareFactor) / workspaces;
  }

  begin(workspace: string): void {
    this.openRequests++;
    const own = this.openByWorkspace.get(workspace) ?? 0;
    this.openByWorkspace.set(workspace, own + 1);
  }

  end(workspace: string): void {
    this.openRequests--;
    const own = (this.openByWorkspace.get(workspace) ?? 0) - 1;
    if (own > 0) this.openByWorkspace.set(workspace, own);
    else this.openByWorkspace.delete(workspace);
  }
}
