/**
 * @fileoverview Looks up the route, service and workspace of a request.
 */
import {
  type FleetConfiguration,
  type FleetRoute,
  type FleetService,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

/** Index of one version of the configuration. */
export class RouteTable {
  readonly version: number;
  /** Whether requests need the key of a workspace. */
  readonly requiresKeys: boolean;
  /** Longest time that a route lets a request wait; undefined without routes. */
  readonly longestTimeoutMilliseconds?: number;
  private readonly routesByHost = new Map<string, FleetRoute[]>();
  private readonly workspacesByKey = new Map<string, FleetWorkspace>();
  private readonly services: ReadonlyMap<string, FleetService>;
  private readonly streamGoals = new Map<string, number>();

  constructor(readonly configuration: FleetConfiguration) {
    const {version, routes, services, workspaces} = configuration;
    this.version = version;
    this.requiresKeys = workspaces !== undefined;
    this.services = new Map(services.map(service => [service.name, service]));
    if (routes.length > 0) {
      this.longestTimeoutMilliseconds = routes.reduce(
        (longest, {timeoutMilliseconds}) =>
          Math.max(longest, timeoutMilliseconds),
        0,
      );
    }
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const known = this.routesByHost.get(host);
      if (known === undefined) this.routesByHost.set(host, [route]);
      else known.push(route);
    }
    for (const route of routes) this.addStreamGoal(route);
    for (const list of this.routesByHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of workspaces ?? []) {
      for (const key of workspace.keys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
  }

  /** Returns the route of a host with the longest prefix of the path. */
  route(host: string, path: string): FleetRoute | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /** Returns the workspace that an API key belongs to. */
  workspace(key: string): FleetWorkspace | undefined {
    return this.workspacesByKey.get(key);
  }

  /** Returns a service by name. */
  service(name: string): FleetService | undefined {
    return this.services.get(name);
  }

  /**
   * Returns the least latency goal of the streams that a service sends, in
   * milliseconds; undefined for none.
   */
  tightestStreamGoal(service: string): number | undefined {
    return this.streamGoals.get(service);
  }

  /**
   * Selects a service of a route at random, by weight.
   *
   * @param random Random number, at least 0 and less than 1.
   */
  static serviceOf({targets}: FleetRoute, random: number): string {
    const total = targets.reduce((sum, {weight}) => sum + weight, 0);
    let remaining = random * total;
    for (const {service, weight} of targets) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    return targets.find(({weight}) => weight > 0)?.service ?? '';
  }

  private addStreamGoal({kind, targets, ...route}: FleetRoute): void {
    const {latencyGoalMilliseconds: goal} = route;
    if (kind !== 'streaming' || goal <= 0) return;
    for (const {service} of targets) {
      const known = this.streamGoals.get(service) ?? Infinity;
      this.streamGoals.set(service, Math.min(known, goal));
    }
  }
}
