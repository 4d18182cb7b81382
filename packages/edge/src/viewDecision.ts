/**
 * @fileoverview Finds the route and the workspace of a request, unless this
 * router's copy of the configuration is too old to decide.
 *
 * A router that is cut off goes on to serve what it knows, but refuses nothing for
 * good: callers don't repeat a request that is refused so.
 */
import {type RouteTable} from '@dogwoodtrestle/fleet';
import {type FleetRoute, type FleetWorkspace} from '@dogwoodtrestle/schema';

import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type RefusalReason} from './refusal.js';
import {type CallerRequest} from './wireCodec.js';

/**
 * Time for which a request waits until a leader has confirmed the copy: several
 * round trips between regions.
 */
const confirmTimeoutMilliseconds = 200;

/** Route of a request, and the workspace that its key belongs to. */
export interface RouteMatch {
  /** Version of the configuration that it is from. */
  configurationVersion: number;
  route: FleetRoute;
  workspace?: FleetWorkspace;
}

/** What a request is matched by. */
export interface MatchContext {
  control: Pick<
    ControlPlaneClient,
    'routes' | 'viewAgeMilliseconds' | 'isBehind' | 'isVouchedFor' | 'confirm'
  >;
  /** Age up to which a change need not be in force yet. */
  viewBoundMilliseconds: () => number;
}

/** What of a request decides. */
export type MatchedRequest = Pick<CallerRequest, 'host' | 'path' | 'key'>;

/**
 * Matches a request. Asks the leader again first where nothing has confirmed the
 * configuration for too long.
 */
export async function matchRequest(
  context: MatchContext,
  request: MatchedRequest,
): Promise<RouteMatch | RefusalReason> {
  const {control} = context;
  const match = matchNow(context, request);
  if (match !== 'viewOutdated' || !control.isVouchedFor) return match;
  await control.confirm(confirmTimeoutMilliseconds);
  return matchNow(context, request);
}

function matchNow(
  {control, viewBoundMilliseconds}: MatchContext,
  request: MatchedRequest,
): RouteMatch | RefusalReason {
  if (control.routes === undefined) return 'noConfiguration';
  const match = findMatch(control.routes, request);
  if (control.viewAgeMilliseconds <= viewBoundMilliseconds()) return match;
  const isRefusal = typeof match === 'string';
  return isRefusal || control.isBehind ? 'viewOutdated' : match;
}

function findMatch(
  routes: RouteTable,
  {host, path, key}: MatchedRequest,
): RouteMatch | RefusalReason {
  const route = routes.route(host, path);
  if (route === undefined) return 'unknownRoute';
  const workspace = key === undefined ? undefined : routes.workspace(key);
  if (routes.requiresKeys && !route.isPublic && workspace === undefined) {
    return 'unknownKey';
  }
  return {configurationVersion: routes.version, route, workspace};
}
