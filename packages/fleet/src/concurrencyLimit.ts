/**
 * @fileoverview Limits the concurrent requests of a router by the utilization of
 * its processor.
 *
 * Pattern: adaptive concurrency limit. All load of a customer may reach a single
 * router and saturate its processor. Requests then wait unread until their
 * callers disconnect, and the events of open streams are delayed. The limit is
 * the number of requests that keeps the processor at a target utilization,
 * estimated from samples of utilization and open requests. Workspaces that use
 * well under an equal share are admitted beyond the limit, so that a surge of one
 * workspace doesn't cause refusals for the others.
 */

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  /** Utilization of the processor, 0 to 1, from which requests are limited. */
  targetUtilization: number;
  /** Lower bound of the limit. */
  minOpenRequests: number;
  /** Part of an equal share up to which a workspace may exceed the limit. */
  fairShareFactor: number;
  /** Time constant of the averages of samples. */
  averageMilliseconds: number;
}

/** Default options. */
export const defaultConcurrencyLimitOptions: ConcurrencyLimitOptions = {
  // At a higher utilization, the waiting time in a queue with a single server
  // exceeds five service times.
  targetUtilization: 0.85,
  // Fewer streams than a third of a core can relay. Refusals use processor time
  // as well, and must not reduce the limit to nothing.
  minOpenRequests: 16,
  // All workspaces together then exceed the limit by at most a half.
  fairShareFactor: 0.5,
  // Longer than a pause for garbage collection or for a new configuration;
  // shorter than the second after which callers abandon an unread request.
  averageMilliseconds: 200,
};

/** Open requests of a router and their limit. */
export class ConcurrencyLimit {
  private readonly options: ConcurrencyLimitOptions;
  private readonly openByWorkspace = new Map<string, number>();
  private openRequests = 0;
  private averageOpen = 0;
  private averageUtilization = 0;

  constructor(options: Partial<ConcurrencyLimitOptions> = {}) {
    this.options = {...defaultConcurrencyLimitOptions, ...options};
  }

  /** Number of open requests. */
  get open(): number {
    return this.openRequests;
  }

  /** Average utilization of the processor, 0 to 1. */
  get utilization(): number {
    return this.averageUtilization;
  }

  /** Limit of concurrent requests; Infinity below the target utilization. */
  get limit(): number {
    const {minOpenRequests, targetUtilization} = this.options;
    if (this.averageUtilization < targetUtilization) return Infinity;
    const sustainable =
      (this.averageOpen * targetUtilization) / this.averageUtilization;
    return Math.max(minOpenRequests, sustainable);
  }

  /**
   * Adds a sample.
   *
   * @param utilization Utilization of the processor, 0 to 1.
   * @param milliseconds Duration of the sample.
   */
  observe(utilization: number, milliseconds: number): void {
    const {averageMilliseconds} = this.options;
    const weight = 1 - Math.exp(-milliseconds / averageMilliseconds);
    this.averageOpen += weight * (this.openRequests - this.averageOpen);
    this.averageUtilization += weight * (utilization - this.averageUtilization);
  }

  /** Whether another request of a workspace may start. */
  admits(workspace: string): boolean {
    const {limit} = this;
    if (this.openRequests < limit) return true;
    const own = this.openByWorkspace.get(workspace) ?? 0;
    const workspaces = this.openByWorkspace.size + (own === 0 ? 1 : 0);
    return own < (limit * this.options.fairShareFactor) / workspaces;
  }

  /** Records that a request starts. */
  begin(workspace: string): void {
    this.openRequests++;
    const own = this.openByWorkspace.get(workspace) ?? 0;
    this.openByWorkspace.set(workspace, own + 1);
  }

  /** Records that a request has ended. */
  end(workspace: string): void {
    this.openRequests--;
    const own = (this.openByWorkspace.get(workspace) ?? 0) - 1;
    if (own > 0) this.openByWorkspace.set(workspace, own);
    else this.openByWorkspace.delete(workspace);
  }
}
