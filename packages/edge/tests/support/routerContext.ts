/** @fileoverview What requests need of a router that runs no servers or calls. */
import {MetricsRegistry} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

import {defaultEdgeOptions, type EdgeOptions} from '../../src/edgeOptions.js';
import {createEdgeParts} from '../../src/edgeParts.js';
import {type ServerConnection} from '../../src/serverConnections.js';

/** Service of the servers; it doesn't state how many connections they take. */
export const service = 'llm';

/** Connections to each server that a router opens then. */
const unstatedConnections = 4;

/** Creates a router with servers, at which nobody listens unless one has an address. */
export function createRouterContext(
  options: Pick<EdgeOptions, 'clock' | 'codec'>,
  servers: Array<
    Pick<BackendServerRecord, 'id' | 'softwareVersion'> &
      Partial<Pick<BackendServerRecord, 'address'>>
  >,
) {
  const address = '127.0.0.1:1';
  const {context} = createEdgeParts({
    ...defaultEdgeOptions,
    instance: 'edge-1',
    failureDomain: 'domain-1',
    callerAddress: address,
    peerAddress: address,
    seeds: () => [],
    metrics: new MetricsRegistry(),
    ...options,
  });
  const {pool} = context;
  const common = {startedAt: 1, sequence: 1, service, address, slots: 4};
  pool.update(servers.map(each => ({...common, state: 'ready', ...each})));
  const inUse = new Map<string, ServerConnection>();
  const use = (id: string) =>
    inUse.set(id, pool.find(id)!.connections.acquire());
  return {
    context,
    /** Takes a connection. */
    use,
    /** Takes all connections but some. */
    useAllBut: (free: number) => {
      for (const {id} of servers) {
        for (let count = free; count < unstatedConnections; count++) use(id);
      }
    },
    /** Gives the connection back that was taken last, and lets it be used. */
    free: async (id: string) => {
      pool.find(id)!.connections.release(inUse.get(id)!);
      await Promise.resolve();
    },
  };
}
