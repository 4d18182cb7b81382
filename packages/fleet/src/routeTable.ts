/**
 * @fileoverview Looks up the route and the workspace of a request.
 */
import {
  type FleetConfiguration,
  type FleetRoute,
  type FleetService,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

/** Lookups of one version of the configuration. */
export class RouteTable {
  readonly version: number;
  readonly requiresKeys: boolean;
  private readonly routesByHost = new Map<string, FleetRoute[]>();
  private readonly workspacesByKey = new Map<string, FleetWorkspace>();
  private readonly services: ReadonlyMap<string, FleetService>;

  constructor(readonly configuration: FleetConfiguration) {
    const {version, routes, services, workspaces} = configuration;
    this.version = version;
    this.requiresKeys = workspaces !== undefined;
    this.services = new Map(services.map(service => [service.name, service]));
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const known = this.routesByHost.get(host);
      if (known === undefined) this.routesByHost.set(host, [route]);
      else known.push(route);
    }
    for (const list of this.routesByHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of workspaces ?? []) {
      for (const key of workspace.keys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
  }

  /** Returns the route with the longest prefix that begins the path. */
  route(host: string, path: string): FleetRoute | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  workspace(key: string): FleetWorkspace | undefined {
    return this.workspacesByKey.get(key);
  }

  service(name: string): FleetService | undefined {
    return this.services.get(name);
  }

  /**
   * Draws a service by the weights of a route.
   *
   * @param draw A number from 0 up to, not including, 1.
   */
  static serviceOf({targets}: FleetRoute, draw: number): string {
    const total = targets.reduce((sum, {weight}) => sum + weight, 0);
    let rest = draw * total;
    for (const {service, weight} of targets) {
      rest -= weight;
      if (rest < 0) return service;
    }
    return targets.find(({weight}) => weight > 0)?.service ?? '';
  }
}
