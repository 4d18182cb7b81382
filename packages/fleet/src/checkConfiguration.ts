/**
 * @fileoverview Validates a whole fleet configuration before it is proposed, and
 * reports all findings together, each with its path.
 */
import {
  type FleetConfiguration,
  type FleetRoute,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

/** One error in a configuration. */
export interface ConfigurationFinding {
  /** Path of the invalid part, such as `routes.3.targets`. */
  path: string;
  message: string;
}

/** Returns all errors of a configuration; none if it is valid. */
export function checkConfiguration(
  configuration: FleetConfiguration,
): ConfigurationFinding[] {
  const services = new Set(configuration.services.map(({name}) => name));
  return [
    ...duplicates(configuration.services, 'services', ({name}) => name),
    ...duplicates(configuration.routes, 'routes', ({name}) => name),
    ...duplicates(
      configuration.routes,
      'routes',
      ({host, pathPrefix}) => `${host.toLowerCase()}${pathPrefix}`,
    ),
    ...configuration.routes.flatMap((route, index) =>
      checkRoute(route, `routes.${index}`, services),
    ),
    ...checkWorkspaces(configuration.workspaces ?? []),
  ];
}

function checkRoute(
  route: FleetRoute,
  path: string,
  services: ReadonlySet<string>,
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const {pathPrefix, targets, timeoutMilliseconds} = route;
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
    findings.push({
      path: `${path}.pathPrefix`,
      message: 'must start and end with a slash',
    });
  }
  if (!(timeoutMilliseconds > 0)) {
    findings.push({
      path: `${path}.timeoutMilliseconds`,
      message: 'must be greater than 0',
    });
  }
  const weights = targets.map(({weight}) => weight);
  if (weights.some(weight => !(weight >= 0)) || !(sum(weights) > 0)) {
    findings.push({
      path: `${path}.targets`,
      message:
        'weights must not be negative and their sum must be greater than 0',
    });
  }
  for (const {service} of targets) {
    if (services.has(service)) continue;
    findings.push({
      path: `${path}.targets`,
      message: `service "${service}" does not exist`,
    });
  }
  return findings;
}

function checkWorkspaces(workspaces: FleetWorkspace[]): ConfigurationFinding[] {
  const keys = workspaces.flatMap(({keys}) => keys.map(key => ({key})));
  const negative = workspaces.flatMap(({prepaidTokens}, index) =>
    prepaidTokens === undefined || prepaidTokens >= 0
      ? []
      : [
          {
            path: `workspaces.${index}.prepaidTokens`,
            message: 'must not be negative',
          },
        ],
  );
  return [
    ...duplicates(workspaces, 'workspaces', ({name}) => name),
    ...duplicates(keys, 'workspaces.keys', ({key}) => key),
    ...negative,
  ];
}

function duplicates<T>(
  items: readonly T[],
  path: string,
  keyOf: (item: T) => string,
): ConfigurationFinding[] {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    const key = keyOf(item);
    const isNew = !seen.has(key);
    seen.add(key);
    if (isNew) return [];
    return [
      {path: `${path}.${index}`, message: 'is a duplicate of an earlier item'},
    ];
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
