/**
 * @fileoverview Computes and applies differences between fleet configurations, so
 * that routers receive only what changed of a large configuration.
 */
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
} from '@dogwoodtrestle/schema';

interface Named {
  name: string;
}

/** Items that were added or changed, and names of those that were removed. */
interface Changes<T> {
  put: T[];
  removed: string[];
}

/** Returns the update from one configuration, if there is one, to another. */
export function changesBetween(
  from: FleetConfiguration | undefined,
  to: FleetConfiguration,
): ConfigurationUpdate {
  return {
    baseVersion: from?.version,
    version: to.version,
    limits: to.limits,
    routes: changesOf(from?.routes ?? [], to.routes),
    services: changesOf(from?.services ?? [], to.services),
    workspaces: changesOf(from?.workspaces ?? [], to.workspaces ?? []),
    hasWorkspaces: to.workspaces !== undefined,
  };
}

/**
 * Applies an update to the current configuration. Returns undefined if the update
 * is based on another version.
 */
export function applyChanges(
  current: FleetConfiguration | undefined,
  update: ConfigurationUpdate,
): FleetConfiguration | undefined {
  const base = update.baseVersion === undefined ? undefined : current;
  if (base?.version !== update.baseVersion) return undefined;
  const {version, limits, hasWorkspaces} = update;
  const workspaces = applyTo(base?.workspaces ?? [], update.workspaces);
  return {
    version,
    limits,
    routes: applyTo(base?.routes ?? [], update.routes),
    services: applyTo(base?.services ?? [], update.services),
    workspaces: hasWorkspaces ? workspaces : undefined,
  };
}

function changesOf<T extends Named>(
  from: readonly T[],
  to: readonly T[],
): Changes<T> {
  const oldItems = new Map(from.map(item => [item.name, JSON.stringify(item)]));
  const newNames = new Set(to.map(({name}) => name));
  return {
    put: to.filter(item => oldItems.get(item.name) !== JSON.stringify(item)),
    removed: [...oldItems.keys()].filter(name => !newNames.has(name)),
  };
}

function applyTo<T extends Named>(
  items: readonly T[],
  {put, removed}: Changes<T>,
): T[] {
  const result = new Map(items.map(item => [item.name, item]));
  for (const name of removed) result.delete(name);
  for (const item of put) result.set(item.name, item);
  return [...result.values()];
}
