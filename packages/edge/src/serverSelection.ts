/**
 * @fileoverview Selects the backend server of a request's next attempt.
 */
import {chooseServer} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {type PooledServer} from './serverPool.js';
import {type Generation} from './wireCodec.js';

/** Part of a server's connections that the routers use together. */
const connectionShare = 0.9;

/** Connections to one server that every router may open. */
const leastConnections = 4;

/** What a server is selected for. */
export interface SelectionDemand {
  service: string;
  generation?: Generation;
  /** Servers that had an attempt already. */
  tried: ReadonlySet<string>;
}

/** Returns the best server, or undefined where none can take the request. */
export function selectServer(
  context: Pick<EdgeContext, 'pool' | 'options' | 'routes' | 'link'>,
  {service, generation, tried}: SelectionDemand,
  now: number,
): PooledServer | undefined {
  const {pool, options} = context;
  const limit = connectionLimit(context, service);
  const servers = pool.candidates(service, tried, limit, now);
  // The last part of a prompt belongs to the request alone.
  const shared = generation?.parts.slice(0, -1) ?? [];
  const part = shared.at(-1)?.id;
  const candidates = servers.map(server => pool.candidateOf(server, part, now));
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
  const server = servers[candidates.findIndex(one => one === chosen)];
  if (server !== undefined && part !== undefined) server.notePart(part, now);
  return server;
}

/** Connections to one server that this router may open. */
function connectionLimit(
  {routes, link}: Pick<EdgeContext, 'routes' | 'link'>,
  service: string,
): number {
  const ofAllRouters = routes()?.service(service)?.maxConnections ?? 0;
  const share = (ofAllRouters * connectionShare) / link.routerCount;
  return Math.max(leastConnections, Math.floor(share));
}
