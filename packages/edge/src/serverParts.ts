/**
 * @fileoverview Creates what a router knows of the backend servers: the pool, their
 * limits, and the connections, the speed and the pace of each.
 */
import {type RouterPosition} from '@dogwoodtrestle/fleet';

import {ColdLimits} from './coldLimits.js';
import {ConnectionCounter} from './connectionCounter.js';
import {type ConnectionRoom, createConnectionRoom} from './connectionWaits.js';
import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type EdgeContext} from './edgeContext.js';
import {type EdgeOptions} from './edgeOptions.js';
import {type RequestMetrics} from './requestMetrics.js';
import {ServerLimits} from './serverLimits.js';
import {ServerPaces} from './serverPaces.js';
import {ServerPool} from './serverPool.js';
import {probeConnection, ServerReach} from './serverReach.js';
import {ServerSpeeds} from './serverSpeeds.js';
import {UnsolicitedBytes} from './unsolicitedBytes.js';
import {type WatchTopic} from './watchTopic.js';

/** Components that hold the state of the backend servers. */
export interface ServerParts
  extends
    ConnectionRoom,
    Pick<EdgeContext, 'pool' | 'paces' | 'limits' | 'reach' | 'speeds'> {
  /** Subjects of the watch call that concern the servers. */
  topics: readonly WatchTopic[];
}

/**
 * Creates the components.
 *
 * @param control Returns the client of the control processes, which is created
 *     after them.
 */
export function createServerParts(
  options: EdgeOptions,
  {waits}: Pick<RequestMetrics, 'waits'>,
  control: () => ControlPlaneClient,
): ServerParts {
  const {clock, logger, metrics} = options;
  const openedConnections = metrics.counter(
    'dogwoodtrestle_server_connections_total',
    'Connections made to backend servers.',
  );
  const routerCount = () => control().routerCount;
  const position = (): RouterPosition => ({
    address: options.peerAddress,
    routers: control().routers,
    routerCount: routerCount(),
  });
  const connectionCounter = new ConnectionCounter({
    clock,
    logger,
    attempts: metrics.counter(
      'dogwoodtrestle_server_connection_attempts_total',
      'Attempts to connect to backend servers, by outcome: in time, late or missing.',
    ),
  });
  const paces = new ServerPaces({...options, routerCount});
  const pool = new ServerPool({
    logger,
    clock,
    connectTimeoutMilliseconds: options.connectTimeoutMilliseconds,
    maxConnectTimeoutMilliseconds: options.maxConnectTimeoutMilliseconds,
    suspectAfterMilliseconds: options.suspectAfterMilliseconds,
    onConnect: () => openedConnections.add(),
    onConnectEnd: (service, address, outcome, milliseconds) => {
      connectionCounter.record(address, outcome, milliseconds);
      reach.recordConnection(service, address, outcome);
    },
    unsolicitedBytes: new UnsolicitedBytes({clock, logger, metrics}),
    paces,
    coldTerms: (service, server) => coldLimits.terms(service, server),
    viewAgeMilliseconds: () => control().viewAgeMilliseconds,
    onColdPeriod: ({record, limit}, previous) => {
      const {id, service} = record;
      coldLimits.reportPeriod({id, service, cold: limit.cold}, previous);
    },
    onFree: service => room.connectionWaits.dispatchSoon(service),
  });
  const reach = new ServerReach({
    clock,
    logger,
    random: options.random,
    servers: () => pool.allEligible(clock.now()),
    probe: probeConnection,
  });
  const limits = new ServerLimits({
    logger,
    metrics,
    clock,
    position,
    isConnected: () => control().isConnected,
    servers: pool,
  });
  const coldLimits: ColdLimits = new ColdLimits({
    clock,
    logger,
    metrics,
    routes: () => control().routes,
    demand: service => limits.demand(service, clock.now()),
  });
  const room: ConnectionRoom = createConnectionRoom({
    clock,
    logger,
    metrics,
    position,
    total: service => control().routes?.service(service)?.maxConnections ?? 0,
    pool,
    onDemand: () => control().callAtOnce(),
    waits,
  });
  const speeds = new ServerSpeeds({logger, metrics, clock, pool});
  const topics = [limits, coldLimits, room.connections, speeds];
  return {...room, pool, paces, limits, reach, speeds, topics};
}
