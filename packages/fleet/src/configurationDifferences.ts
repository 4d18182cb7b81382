/**
 * @fileoverview Lists the differences between two configurations, field by field,
 * for operators. Entries are matched by their name, so their order doesn't matter.
 * API keys are counted, not shown.
 */
import {
  type FleetConfiguration,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

/** One difference between two configurations. */
export interface ConfigurationDifference {
  change: 'added' | 'removed' | 'changed';
  /**
   * Path of the part, such as `routes.3.priority`: in the later configuration,
   * or in the earlier one of what was removed.
   */
  path: string;
  /** Name of the route, service or workspace; missing for limits. */
  name?: string;
  /** Value of a changed field; missing where the field was. */
  before?: unknown;
  after?: unknown;
}

interface Named {
  name: string;
}

const lists = ['routes', 'services', 'workspaces'] as const;

/** Lists how a configuration differs from an earlier one but for its version. */
export function compareConfigurations(
  earlier: FleetConfiguration,
  later: FleetConfiguration,
): ConfigurationDifference[] {
  const list = (
    configuration: FleetConfiguration,
    key: (typeof lists)[number],
  ): Named[] =>
    key === 'workspaces'
      ? (configuration.workspaces ?? []).map(withoutKeys)
      : configuration[key];
  return [
    ...compareFields(earlier.limits, later.limits, 'limits'),
    ...compareFields(
      {workspaces: presenceOf(earlier)},
      {workspaces: presenceOf(later)},
    ),
    ...lists.flatMap(key =>
      compareLists(list(earlier, key), list(later, key), key),
    ),
    ...compareKeys(earlier, later),
  ];
}

/** Callers need no key without a list of workspaces. */
function presenceOf({workspaces}: FleetConfiguration): string {
  return workspaces === undefined ? 'no list' : 'list';
}

/** Returns a workspace as it is shown. */
function withoutKeys({keys: _, ...shown}: FleetWorkspace): Named {
  return shown;
}

function compareLists(
  earlier: readonly Named[],
  later: readonly Named[],
  path: string,
): ConfigurationDifference[] {
  const before = new Map(earlier.map(item => [item.name, item]));
  const names = new Set(later.map(({name}) => name));
  const removed = earlier.flatMap(({name}, index) =>
    names.has(name)
      ? []
      : [{change: 'removed' as const, path: `${path}.${index}`, name}],
  );
  const others = later.flatMap((item, index) => {
    const {name} = item;
    const known = before.get(name);
    const itemPath = `${path}.${index}`;
    if (known === undefined) {
      return [{change: 'added' as const, path: itemPath, name}];
    }
    return compareFields(known, item, itemPath, name);
  });
  return [...removed, ...others];
}

function compareFields(
  earlier: object,
  later: object,
  path?: string,
  name?: string,
): ConfigurationDifference[] {
  const before = earlier as Readonly<Record<string, unknown>>;
  const after = later as Readonly<Record<string, unknown>>;
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...fields].flatMap(field => {
    const change = {before: before[field], after: after[field]};
    if (JSON.stringify(change.before) === JSON.stringify(change.after)) {
      return [];
    }
    const fieldPath = path === undefined ? field : `${path}.${field}`;
    return [
      {
        change: 'changed' as const,
        path: fieldPath,
        ...(name !== undefined && {name}),
        ...change,
      },
    ];
  });
}

/** Compares the keys of workspaces that both configurations have. */
function compareKeys(
  earlier: FleetConfiguration,
  later: FleetConfiguration,
): ConfigurationDifference[] {
  const before = new Map(
    earlier.workspaces?.map(({name, keys}) => [name, keys]),
  );
  return (later.workspaces ?? []).flatMap(({name, keys}, index) => {
    const known = before.get(name);
    if (known === undefined) return [];
    const added = keys.filter(key => !known.includes(key)).length;
    const removed = known.filter(key => !keys.includes(key)).length;
    if (added === 0 && removed === 0) return [];
    return [
      {
        change: 'changed' as const,
        path: `workspaces.${index}.keys`,
        name,
        before: `${known.length} keys`,
        after: `${keys.length} keys: ${added} added, ${removed} removed`,
      },
    ];
  });
}
