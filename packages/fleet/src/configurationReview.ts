/**
 * @fileoverview Reviews a configuration before an operator sends it: errors,
 * entries that never match, limits that contradict each other, and differences
 * from the active version. A finding is an error only if it is certain whatever
 * the callers and backend servers do; what may be intended is a warning.
 *
 * Differences name API keys by their number only, since they are printed.
 */
import {
  type FleetConfiguration,
  type FleetRoute,
  type FleetService,
  type FleetWorkspace,
} from '@dogwoodtrestle/schema';

import {checkConfiguration} from './checkConfiguration.js';
import {
  compareConfigurations,
  type ConfigurationDifference,
} from './configurationDifferences.js';

/** Whether a finding is certainly a mistake, or may be intended. */
export type ReviewSeverity = 'error' | 'warning';

/** Kind of a finding. */
export type ReviewKind =
  /** The fleet refuses the configuration. */
  | 'invalid'
  /** No request matches the entry. */
  | 'neverMatches'
  /** Nothing refers to the entry. */
  | 'unused'
  /** Two limits that can't both be of use. */
  | 'contradiction'
  /** A field that changes nothing in its entry. */
  | 'noEffect'
  /** A prepaid total that is lower than in the active version, or gone. */
  | 'lessPrepaid'
  /** The active version is as high, so this one changes nothing. */
  | 'staleVersion';

/** One finding of a review. */
export interface ReviewFinding {
  severity: ReviewSeverity;
  kind: ReviewKind;
  /** Path of the part in the configuration, such as `routes.3.targets`. */
  path: string;
  message: string;
}

/** Result of a review. */
export interface ConfigurationReview {
  findings: ReviewFinding[];
  /** Differences from the active version; missing without one. */
  differences?: ConfigurationDifference[];
}

/**
 * Reviews a configuration.
 *
 * @param active The active version, where it is known.
 */
export function reviewConfiguration(
  configuration: FleetConfiguration,
  active?: FleetConfiguration,
): ConfigurationReview {
  const {routes, services, workspaces} = configuration;
  const findings = [
    ...checkConfiguration(configuration).map(finding =>
      error('invalid', finding.path, finding.message),
    ),
    ...routes.flatMap((route, index) => reviewRoute(route, `routes.${index}`)),
    ...services.flatMap((service, index) =>
      reviewService(service, `services.${index}`, routes),
    ),
    ...(workspaces ?? []).flatMap((workspace, index) =>
      reviewWorkspace(workspace, `workspaces.${index}`),
    ),
    ...reviewKeys(configuration),
  ];
  if (active === undefined) return {findings};
  const differences = compareConfigurations(active, configuration);
  return {
    findings: [
      ...findings,
      ...reviewVersion(configuration, active, differences),
      ...reviewPrepaid(configuration, active),
    ],
    differences,
  };
}

function reviewRoute(route: FleetRoute, path: string): ReviewFinding[] {
  return [
    ...reviewMatch(route, path),
    ...reviewTargets(route, path),
    ...reviewTimes(route, path),
    ...reviewStreamFields(route, path),
  ];
}

/** Finds hosts and prefixes that requests can't have. */
function reviewMatch(
  {host, pathPrefix}: FleetRoute,
  path: string,
): ReviewFinding[] {
  const findings: ReviewFinding[] = [];
  if (/[\s/?#]/.test(host) || /:\d+$/.test(host)) {
    findings.push(
      error(
        'neverMatches',
        `${path}.host`,
        'hosts are compared without a port, and have no space, "/", "?" or "#"',
      ),
    );
  }
  if (/[\s?]/.test(pathPrefix)) {
    findings.push(
      error(
        'neverMatches',
        `${path}.pathPrefix`,
        'paths are compared without their query, and have no space',
      ),
    );
  }
  for (const [field, text] of Object.entries({host, pathPrefix})) {
    if (!text.includes('*')) continue;
    findings.push(
      warning('neverMatches', `${path}.${field}`, '"*" only matches itself'),
    );
  }
  return findings;
}

function reviewTargets({targets}: FleetRoute, path: string): ReviewFinding[] {
  const seen = new Set<string>();
  return targets.flatMap(({service, weight}, index) => {
    const findings: ReviewFinding[] = [];
    const targetPath = `${path}.targets.${index}`;
    if (weight === 0) {
      findings.push(
        warning(
          'neverMatches',
          `${targetPath}.weight`,
          `"${service}" gets no requests of the route`,
        ),
      );
    }
    if (seen.has(service)) {
      findings.push(
        warning(
          'contradiction',
          targetPath,
          `"${service}" has another weight in the same route; they are added`,
        ),
      );
    }
    seen.add(service);
    return findings;
  });
}

function reviewTimes(route: FleetRoute, path: string): ReviewFinding[] {
  const {maxAttempts, timeoutMilliseconds, latencyGoalMilliseconds} = route;
  const {eventGapGoalMilliseconds = 0} = route;
  const findings: ReviewFinding[] = [];
  if (!(maxAttempts >= 1)) {
    findings.push(
      warning(
        'contradiction',
        `${path}.maxAttempts`,
        `${maxAttempts} allows no attempt; the first one is made all the same`,
      ),
    );
  }
  const isOver = (milliseconds: number) =>
    timeoutMilliseconds > 0 && milliseconds > timeoutMilliseconds;
  const goals = {latencyGoalMilliseconds, eventGapGoalMilliseconds};
  for (const [field, goal] of Object.entries(goals)) {
    if (!isOver(goal)) continue;
    findings.push(
      warning(
        'contradiction',
        `${path}.${field}`,
        `${goal} ms is longer than the route's time limit of ${timeoutMilliseconds} ms`,
      ),
    );
  }
  const allAttempts = maxAttempts * latencyGoalMilliseconds;
  if (isOver(allAttempts) && !isOver(latencyGoalMilliseconds)) {
    findings.push(
      warning(
        'contradiction',
        `${path}.maxAttempts`,
        `${maxAttempts} attempts of ${latencyGoalMilliseconds} ms each are longer than the route's time limit of ${timeoutMilliseconds} ms`,
      ),
    );
  }
  return findings;
}

function reviewStreamFields(
  {kind, isResumable, eventGapGoalMilliseconds = 0}: FleetRoute,
  path: string,
): ReviewFinding[] {
  if (kind === 'streaming') return [];
  const findings: ReviewFinding[] = [];
  const message = `only concerns streaming routes, and this one is ${kind}`;
  if (isResumable) {
    findings.push(warning('noEffect', `${path}.isResumable`, message));
  }
  if (eventGapGoalMilliseconds > 0) {
    findings.push(
      warning('noEffect', `${path}.eventGapGoalMilliseconds`, message),
    );
  }
  return findings;
}

function reviewService(
  {name, maxConnections, engine, coldRequestsPerSecond = 1}: FleetService,
  path: string,
  routes: readonly FleetRoute[],
): ReviewFinding[] {
  const findings: ReviewFinding[] = [];
  const isNamed = routes.some(({targets}) =>
    targets.some(({service}) => service === name),
  );
  if (!isNamed) {
    findings.push(
      warning('unused', path, `no route names "${name}"; its servers get none`),
    );
  }
  if (!(coldRequestsPerSecond > 0)) {
    findings.push(
      error(
        'contradiction',
        `${path}.coldRequestsPerSecond`,
        'must be greater than 0',
      ),
    );
  }
  // Without a positive number the connections are not limited.
  if (engine !== undefined && maxConnections > 0) {
    const {slots} = engine;
    if (slots > maxConnections) {
      findings.push(
        warning(
          'contradiction',
          `${path}.maxConnections`,
          `${maxConnections} connections can't fill ${slots} slots, as each carries one request`,
        ),
      );
    }
  }
  return findings;
}

function reviewWorkspace(
  {name, keys, prepaidTokens}: FleetWorkspace,
  path: string,
): ReviewFinding[] {
  const findings: ReviewFinding[] = [];
  if (keys.length === 0) {
    findings.push(
      warning('neverMatches', `${path}.keys`, `no key leads to "${name}"`),
    );
  }
  if (prepaidTokens === 0) {
    findings.push(
      warning(
        'contradiction',
        `${path}.prepaidTokens`,
        `a total of 0 covers no request that uses tokens`,
      ),
    );
  }
  return findings;
}

/** Finds routes that no key opens. */
function reviewKeys({routes, workspaces}: FleetConfiguration): ReviewFinding[] {
  if (workspaces === undefined) return [];
  if (workspaces.some(({keys}) => keys.length > 0)) return [];
  return routes.flatMap(({isPublic}, index) =>
    isPublic
      ? []
      : [
          error(
            'neverMatches',
            `routes.${index}`,
            'needs a key, and no workspace has one',
          ),
        ],
  );
}

/** Finds a version that changes nothing, as the active one is as high. */
function reviewVersion(
  {version}: FleetConfiguration,
  active: FleetConfiguration,
  differences: readonly ConfigurationDifference[],
): ReviewFinding[] {
  if (version > active.version) return [];
  const isSame = version === active.version && differences.length === 0;
  if (isSame) return [];
  return [
    error(
      'staleVersion',
      'version',
      `the active version is ${active.version}; ${version} would be acknowledged and change nothing`,
    ),
  ];
}

/** Finds workspaces whose prepaid total is lower, or no longer limits them. */
function reviewPrepaid(
  {workspaces}: FleetConfiguration,
  active: FleetConfiguration,
): ReviewFinding[] {
  if (workspaces === undefined) {
    const had = active.workspaces?.some(
      ({prepaidTokens}) => prepaidTokens !== undefined,
    );
    if (had !== true) return [];
    const message = 'without the list no key is needed and no total binds';
    return [warning('lessPrepaid', 'workspaces', message)];
  }
  const before = new Map(
    active.workspaces?.map(({name, prepaidTokens}) => [name, prepaidTokens]),
  );
  return workspaces.flatMap(({name, prepaidTokens}, index) => {
    const total = before.get(name);
    if (total === undefined) return [];
    const path = `workspaces.${index}.prepaidTokens`;
    if (prepaidTokens === undefined) {
      const message = `"${name}" had a total of ${total} and would have none`;
      return [warning('lessPrepaid', path, message)];
    }
    if (prepaidTokens >= total) return [];
    const message = `the total of "${name}" falls from ${total} to ${prepaidTokens}`;
    return [warning('lessPrepaid', path, message)];
  });
}

function error(kind: ReviewKind, path: string, message: string): ReviewFinding {
  return {severity: 'error', kind, path, message};
}

function warning(
  kind: ReviewKind,
  path: string,
  message: string,
): ReviewFinding {
  return {severity: 'warning', kind, path, message};
}
