/**
 * @fileoverview Selects the backend server for a request's next attempt.
 */
import {chooseServer} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {type PooledServer} from './serverPool.js';
import {type GenerationParameters} from './wireCodec.js';

/** Share of a server's connection limit that all routers together use. */
const usableConnectionShare = 0.9;

/** Connections to one server that each router may open in any case. */
const minConnections = 4;

/** Criteria for a server. */
export interface SelectionCriteria {
  service: string;
  generation?: GenerationParameters;
  /** Ids of servers that were tried before; they are excluded. */
  tried: ReadonlySet<string>;
}

/** Returns the best server; undefined where none is available. */
export function selectServer(
  context: Pick<EdgeContext, 'pool' | 'options' | 'routes' | 'control'>,
  {service, generation, tried}: SelectionCriteria,
  now: number,
): PooledServer | undefined {
  const {pool, options} = context;
  const limit = connectionLimit(context, service);
  const servers = pool.candidates(service, tried, limit, now);
  // The last part of a prompt is not shared with other requests.
  const shared = generation?.parts.slice(0, -1) ?? [];
  const part = shared.at(-1)?.id;
  const candidates = servers.map(server => pool.toCandidate(server, part, now));
  const chosen = chooseServer(
    candidates,
    {
      affinityKey: part,
      prefixTokens: shared.reduce((sum, {tokens}) => sum + tokens, 0),
      promptTokens: generation?.promptTokens ?? 0,
      failureDomain: options.failureDomain,
    },
    options.random,
  );
  const server =
    servers[candidates.findIndex(candidate => candidate === chosen)];
  if (server !== undefined && part !== undefined) server.recordPart(part, now);
  return server;
}

/** Connections to one server of the service that this router may open. */
function connectionLimit(
  {routes, control}: Pick<EdgeContext, 'routes' | 'control'>,
  service: string,
): number {
  const fleetLimit = routes()?.service(service)?.maxConnections ?? 0;
  const share = (fleetLimit * usableConnectionShare) / control.routerCount;
  return Math.max(minConnections, Math.floor(share));
}
