/**
 * @fileoverview Configurations of the users' large deployments: many routes with
 * names that compress badly, of which a few change with each version.
 */
import {type FleetConfiguration, type FleetRoute} from '@dogwoodtrestle/schema';

import {host} from './routerProcess.js';

const services = ['base', 'blue', 'green'];
const nameCharacters = 'abcdefghijklmnopqrstuvwxyz0123456789';
const nameLength = 8;
const keyLength = 20;
const prepaidTokens = 10_000_000;

const limits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};

/** Size of the first version. */
export interface ConfigurationSize {
  routes: number;
  workspaces: number;
}

/** Versions, each made from the one before. */
export class LargeConfigurations {
  private version = 0;
  private routes: FleetRoute[];
  private readonly workspaces: NonNullable<FleetConfiguration['workspaces']>;

  constructor(
    private readonly random: () => number,
    {routes, workspaces}: ConfigurationSize,
  ) {
    this.routes = Array.from({length: routes}, () => this.createRoute());
    this.workspaces = Array.from({length: workspaces}, () => ({
      name: this.name(nameLength),
      keys: [this.name(keyLength), this.name(keyLength)],
      prepaidTokens,
    }));
  }

  /** Names of all workspaces. */
  get workspaceNames(): string[] {
    return this.workspaces.map(({name}) => name);
  }

  /** Returns the next version: a route moves, and others are added. */
  next(addedRoutes = 0): FleetConfiguration {
    const moved = Math.floor(this.random() * this.routes.length);
    this.routes = this.routes.map((route, index) =>
      index === moved ? {...route, targets: this.targets()} : route,
    );
    for (let count = 0; count < addedRoutes; count++) {
      this.routes.push(this.createRoute());
    }
    return {
      version: ++this.version,
      routes: this.routes,
      services: services.map(name => ({name, maxConnections: 1_300})),
      limits,
      workspaces: this.workspaces,
    };
  }

  private createRoute(): FleetRoute {
    return {
      name: `r-${this.name(nameLength)}`,
      host,
      pathPrefix: `/${this.name(nameLength)}/`,
      kind: 'streaming',
      timeoutMilliseconds: 12_389,
      latencyGoalMilliseconds: 619,
      priority: 1,
      targets: this.targets(),
      maxAttempts: 2,
      isPublic: false,
      isResumable: true,
      gapGoalMilliseconds: 300,
    } as FleetRoute;
  }

  private targets(): FleetRoute['targets'] {
    const service = services[Math.floor(this.random() * services.length)]!;
    return [{service, weight: 1 + Math.floor(this.random() * 1_000)}];
  }

  private name(length: number): string {
    return Array.from(
      {length},
      () =>
        nameCharacters[Math.floor(this.random() * nameCharacters.length)] ?? '',
    ).join('');
  }
}
