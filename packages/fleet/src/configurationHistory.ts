/**
 * @fileoverview The newest configuration, and what has changed since earlier ones.
 * Of these only the names of the changed items are kept, so that a router that lacks
 * many versions still gets changes and not the whole configuration.
 */
import {
  type ConfigurationUpdate,
  type FleetConfiguration,
} from '@dogwoodtrestle/schema';

/** Options of a history. */
export interface ConfigurationHistoryOptions {
  /** Versions from which changes are known. */
  maxVersions: number;
  /** Names of changed items of all these versions together. */
  maxNames: number;
}

/** Default options. */
export const defaultConfigurationHistoryOptions: ConfigurationHistoryOptions = {
  maxVersions: 1_000,
  maxNames: 50_000,
};

/** Lists of named items in a configuration. */
const listNames = ['routes', 'services', 'workspaces'] as const;

type ListName = (typeof listNames)[number];

/** Names of items by list. */
type ChangedNames = Record<ListName, ReadonlySet<string>>;

/** One version, and what it changed of the one before. */
interface Step {
  /** Version before. */
  base: number;
  changed: ChangedNames;
  /** Number of changed names. */
  count: number;
}

interface Named {
  name: string;
}

/** Versions in the order in which they became active. */
export class ConfigurationHistory {
  private readonly options: ConfigurationHistoryOptions;
  private current?: FleetConfiguration;
  /** JSON texts of the items of the newest version. */
  private texts = textsOf(undefined);
  /** The oldest first. */
  private readonly steps: Step[] = [];
  private namesCount = 0;
  /** By the version that they start from; of the newest version. */
  private readonly updates = new Map<number, ConfigurationUpdate>();

  constructor(options: Partial<ConfigurationHistoryOptions> = {}) {
    this.options = {...defaultConfigurationHistoryOptions, ...options};
  }

  /** The newest version; undefined before the first one. */
  get newest(): FleetConfiguration | undefined {
    return this.current;
  }

  /** Adds the next version. */
  add(configuration: FleetConfiguration): void {
    const {current, texts, steps, options} = this;
    const next = textsOf(configuration);
    if (current !== undefined) {
      const changed = {
        routes: changedNames(texts.routes, next.routes),
        services: changedNames(texts.services, next.services),
        workspaces: changedNames(texts.workspaces, next.workspaces),
      };
      const count = listNames.reduce(
        (sum, name) => sum + changed[name].size,
        0,
      );
      steps.push({base: current.version, changed, count});
      this.namesCount += count;
    }
    this.current = configuration;
    this.texts = next;
    this.updates.clear();
    while (
      steps.length > options.maxVersions ||
      (steps.length > 0 && this.namesCount > options.maxNames)
    ) {
      this.namesCount -= steps.shift()?.count ?? 0;
    }
  }

  /**
   * Returns the update to the newest version: the changes since the given one, or
   * all of it if these are unknown; undefined if that version is as new. The same
   * object is returned until the next version.
   */
  updateSince(version: number): ConfigurationUpdate | undefined {
    const {current, steps} = this;
    if (current === undefined || current.version <= version) return undefined;
    const first = steps.findIndex(({base}) => base === version);
    const base = first < 0 ? undefined : version;
    const key = base ?? wholeKey;
    let update = this.updates.get(key);
    if (update === undefined) {
      const since = base === undefined ? undefined : steps.slice(first);
      update = createUpdate(current, base, since);
      this.updates.set(key, update);
    }
    return update;
  }
}

/** Key of the update that has the whole configuration. */
const wholeKey = -1;

function createUpdate(
  configuration: FleetConfiguration,
  baseVersion: number | undefined,
  steps: readonly Step[] | undefined,
): ConfigurationUpdate {
  const {version, limits, routes, services, workspaces} = configuration;
  const changesOf = <T extends Named>(list: ListName, items: readonly T[]) => {
    if (steps === undefined) return {put: [...items], removed: []};
    const names = new Set(steps.flatMap(({changed}) => [...changed[list]]));
    const put = items.filter(({name}) => names.has(name));
    for (const {name} of put) names.delete(name);
    return {put, removed: [...names]};
  };
  return {
    baseVersion,
    version,
    limits,
    routes: changesOf('routes', routes),
    services: changesOf('services', services),
    workspaces: changesOf('workspaces', workspaces ?? []),
    hasWorkspaces: workspaces !== undefined,
  };
}

function textsOf(
  configuration: FleetConfiguration | undefined,
): Record<ListName, Map<string, string>> {
  const textsOfList = (items: readonly Named[] = []) =>
    new Map(items.map(item => [item.name, JSON.stringify(item)]));
  return {
    routes: textsOfList(configuration?.routes),
    services: textsOfList(configuration?.services),
    workspaces: textsOfList(configuration?.workspaces),
  };
}

function changedNames(
  from: ReadonlyMap<string, string>,
  to: ReadonlyMap<string, string>,
): Set<string> {
  const changed = new Set<string>();
  for (const [name, text] of to) {
    if (from.get(name) !== text) changed.add(name);
  }
  for (const name of from.keys()) {
    if (!to.has(name)) changed.add(name);
  }
  return changed;
}
