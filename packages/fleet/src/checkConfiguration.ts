/**
 * @fileoverview Checks a fleet configuration as a whole before it is proposed.
 * All findings are collected with their place and reported together.
 */
import {
  type FleetConfiguration,
  type FleetRoute,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

/** One fault of a configuration. */
export interface ConfigurationFinding {
  /** Path of the faulty part, such as `routes.3.targets`. */
  path: string;
  message: string;
}

/** Returns every reason why a configuration can't be in force. */
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
      message: 'must begin and end with a slash',
    });
  }
  if (!(timeoutMilliseconds > 0)) {
    findings.push({
      path: `${path}.timeoutMilliseconds`,
      message: 'must be more than 0',
    });
  }
  const weights = targets.map(({weight}) => weight);
  if (weights.some(weight => !(weight >= 0)) || !(sum(weights) > 0)) {
    findings.push({
      path: `${path}.targets`,
      message: 'the weights must add up to more than 0',
    });
  }
  for (const {service} of targets) {
    if (services.has(service)) continue;
    findings.push({
      path: `${path}.targets`,
      message: `service ${service} is unknown`,
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
      {path: `${path}.${index}`, message: 'stands twice in the configuration'},
    ];
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
