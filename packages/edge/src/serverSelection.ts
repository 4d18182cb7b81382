/**
 * @fileoverview Selects the backend server for a request's next attempt.
 */
import {
  type BlockReason,
  type Placement,
  placeRequest,
  shortlistServers,
} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {PooledCandidate} from './pooledCandidate.js';
import {
  type RefusalReason,
  retryAfterFor,
  serversRefusal,
  type TimedRefusal,
} from './refusal.js';
import {type LimitDecision} from './serverLimits.js';
import {hasVersion, type PooledServer} from './serverPool.js';
import {type GenerationParameters, type PromptPart} from './wireCodec.js';

/** Why a server was chosen, with what was known of it then. */
export interface ServerDecision extends Omit<Placement, 'server'> {
  slowness?: number;
  otherRequests?: number;
}

/** Criteria for a server. */
export interface SelectionCriteria {
  service: string;
  generation?: GenerationParameters;
  /** The only software version that may get the request; missing for any. */
  softwareVersion?: string;
  /** Ids of servers that were tried before; they are excluded. */
  tried: Pick<ReadonlySet<string>, 'has'>;
  /** Receives the decisions that follow from limits of servers. */
  limitDecisions: LimitDecision[];
  /** Receives why servers were chosen. */
  placements: ServerDecision[];
}

/** What the selection needs of the router. */
type SelectionContext = Pick<
  EdgeContext,
  'pool' | 'limits' | 'speeds' | 'options' | 'routes' | 'connections' | 'reach'
>;

/** Returns the best server; undefined where none is available. */
export function selectServer(
  context: SelectionContext,
  criteria: SelectionCriteria,
  now: number,
): PooledServer | undefined {
  const {pool, limits, connections, reach} = context;
  const {service, generation, tried, limitDecisions} = criteria;
  const {softwareVersion} = criteria;
  limits.recordDemand(service, now);
  const available = pool
    .candidates(service, tried, connections.limitsOf(service), now)
    .filter(
      server =>
        hasVersion(server, softwareVersion) && reach.mayReach(server, now),
    );
  const wanted = choose(context, available, criteria, now);
  let server = wanted;
  if (wanted !== undefined && !wanted.limit.admits(now)) {
    limits.recordDecision(wanted, 'skipped', limitDecisions);
    const admitted = available.filter(({limit}) => limit.admits(now));
    server = choose(context, admitted, criteria, now);
  }
  const part = sharedParts(generation).at(-1)?.id;
  if (part !== undefined) server?.recordPart(part, now);
  return server;
}

/** A request that no server accepts. */
export interface UnservedRequest {
  service: string;
  /** The only software version that may get it; missing for any. */
  softwareVersion?: string;
  reason: RefusalReason;
  /** Receives the decision if a server's limit leads to the refusal. */
  limitDecisions: LimitDecision[];
}

/** Returns the refusal of a request, with the time at which to retry it. */
export function refuseWithoutServer(
  {pool, limits, options}: Pick<EdgeContext, 'pool' | 'limits' | 'options'>,
  {service, softwareVersion, reason, limitDecisions}: UnservedRequest,
  now: number,
): TimedRefusal {
  const first = pool.firstAvailable(service, softwareVersion, now);
  const isEvacuated = pool.hasEvacuated(service, softwareVersion, now);
  if (first === undefined && isEvacuated) {
    const evacuated = 'serversEvacuated';
    const retryAfterSeconds = retryAfterFor(evacuated, options.random);
    return {reason: evacuated, retryAfterSeconds};
  }
  if (first?.isLimited === true) {
    limits.recordDecision(first.server, 'refused', limitDecisions);
  }
  return serversRefusal(reason, first, options.random);
}

/** Why a server gets no request, or that it may get one. */
type ServerState =
  BlockReason | 'tried' | 'notReady' | 'noConnection' | 'limited' | 'available';

/** Returns how many servers of a service can't get a request, by reason. */
export function countServerStates(
  {pool, connections}: Pick<EdgeContext, 'pool' | 'connections'>,
  {service, tried}: Pick<SelectionCriteria, 'service' | 'tried'>,
  now: number,
): Partial<Record<ServerState, number>> {
  const limitOf = connections.limitsOf(service);
  const eligible = new Set(pool.eligible(service, now));
  const stateOf = (server: PooledServer): ServerState => {
    if (tried.has(server.id)) return 'tried';
    if (!eligible.has(server)) return 'notReady';
    if (!server.bar.admits(now)) return server.bar.reason ?? 'available';
    if (server.connections.busy >= limitOf(server)) return 'noConnection';
    return server.limit.admits(now) ? 'available' : 'limited';
  };
  const counts: Partial<Record<ServerState, number>> = {};
  for (const server of pool.all()) {
    const {record} = server;
    if (record.service !== service || record.state === 'left') continue;
    const state = stateOf(server);
    counts[state] = (counts[state] ?? 0) + 1;
  }
  return counts;
}

/** The parts of a prompt that other requests may share: all but the last. */
export function sharedParts(generation?: GenerationParameters): PromptPart[] {
  return generation?.parts.slice(0, -1) ?? [];
}

/** Whether a request finds no server only for want of connections. */
export function isShortOfConnections(
  {pool, reach}: Pick<EdgeContext, 'pool' | 'reach'>,
  {service, tried, softwareVersion}: SelectionCriteria,
  now: number,
): boolean {
  return pool
    .candidates(service, tried, () => Infinity, now)
    .some(
      server =>
        hasVersion(server, softwareVersion) &&
        reach.mayReach(server, now) &&
        server.limit.admits(now),
    );
}

function choose(
  context: SelectionContext,
  available: PooledServer[],
  {service, generation, placements}: SelectionCriteria,
  now: number,
): PooledServer | undefined {
  const {pool, options, speeds, routes} = context;
  const {random, failureDomain} = options;
  const shared = sharedParts(generation);
  const affinityKey = shared.at(-1)?.id;
  const request = {
    affinityKey,
    prefixTokens: shared.reduce((sum, {tokens}) => sum + tokens, 0),
    promptTokens: generation?.promptTokens ?? 0,
    failureDomain,
    ...speeds.placement(service, routes(), now),
  };
  speeds.refreshKinds();
  const source = {pool, speeds, partId: affinityKey, now};
  const chooseAmong = (listed: readonly PooledServer[]) => {
    const candidates = listed.map(
      server => new PooledCandidate(server, source),
    );
    return placeRequest(candidates, request, random);
  };
  const servers = pool.prefer(available);
  const due = servers.filter(({limit}) => limit.isDue(now));
  const preferred = due.length > 0 ? due : servers;
  const listed = shortlistServers(preferred, request, random);
  const first = chooseAmong(listed);
  const isSuspect = first?.server.isSuspect === true;
  // A server that is paced is still better than one that doesn't answer.
  const placement = isSuspect ? chooseAmong(available) : first;
  if (placement === undefined) return undefined;
  const {server, rank, compared, cost} = placement;
  const {slowness, otherRequests} = server;
  placements.push({rank, compared, cost, slowness, otherRequests});
  return pool.find(server.id);
}
