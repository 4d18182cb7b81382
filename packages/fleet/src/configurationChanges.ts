/**
 * @fileoverview Differences between two fleet configurations, so that a small
 * change of a large configuration costs routers few bytes.
 */
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
} from '@dogwoodtrestle/schema';

interface Named {
  name: string;
}

/** Items that were added or changed, and names of those that are gone. */
interface Changes<T> {
  put: T[];
  removed: string[];
}

/** Returns what leads from one configuration, or none, to another. */
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
 * Applies an update. Returns undefined where it starts from another version
 * than the one held.
 */
export function applyChanges(
  held: FleetConfiguration | undefined,
  update: ConfigurationUpdate,
): FleetConfiguration | undefined {
  const base = update.baseVersion === undefined ? undefined : held;
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
  const before = new Map(from.map(item => [item.name, JSON.stringify(item)]));
  const after = new Set(to.map(({name}) => name));
  return {
    put: to.filter(item => before.get(item.name) !== JSON.stringify(item)),
    removed: [...before.keys()].filter(name => !after.has(name)),
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
