/**
 * @fileoverview Creates a daemon from its settings and runs it.
 */
import {type Settings} from '@dogwoodtrestle/schema';

import {type Control, createControl} from './control.js';
import {recordLimitsOf} from './bodyLimits.js';
import {closeHttpServer, createHttpServer} from './httpServer.js';
import {type Logger} from './observability/logger.js';
import {createMetrics} from './observability/metrics.js';
import {createTracing} from './observability/tracing.js';
import {attemptIdsOf} from './requests/attemptIds.js';
import {type InstanceSource} from './requests/dependencies.js';
import {RequestPath} from './requests/index.js';
import {type Secrets} from './settings/loadSettings.js';
import {type Stoppable} from './shutdown.js';
import {lockFolder} from './util/folderLock.js';
import {pause} from './util/pause.js';

/** Dependencies of a daemon. */
export interface DaemonOptions {
  settings: Settings;
  secrets: Secrets;
  logger: Logger;
}

/** A running daemon. */
export interface Daemon extends Stoppable {
  /** Base URL of the HTTP API for callers. */
  address: string;
}

/**
 * Starts a daemon. Resolves once it serves requests.
 *
 * @throws FolderInUseError while another process uses the data folder.
 */
export async function startDaemon({
  settings,
  secrets,
  logger,
}: DaemonOptions): Promise<Daemon> {
  const {dataFolder} = settings.instance;
  const unlock =
    dataFolder === undefined ? undefined : await lockFolder(dataFolder);
  const metrics = createMetrics(settings);
  const tracing = createTracing(settings);
  const control = await createControl({
    settings,
    secrets,
    logger,
    metrics,
    explain: requestId =>
      Promise.resolve(requests.explanations.view(requestId)),
    keptAnswer: requestKey => requests.keptAnswer(requestKey),
    inFlight: backend => requests.inFlightAt(backend),
    isEjected: backend => requests.isEjected(backend),
    attemptIds: attemptIdsOf,
    issuesOrders: settings.backends.giveOrders,
    isRunning: requestKey => requests.isRunning(requestKey),
    onReplicaFailure: error => {
      logger.fatal({err: error}, 'the ledger replica has stopped');
    },
  });
  const requests = new RequestPath({
    settings,
    holder: control.holder,
    logger,
    metrics,
    tracing,
    ledger: control.ledgerClient,
    grants: control.grants,
    contracts: control.configuration,
    instances: instanceSource(control),
    directory: control.directory,
    now: () => performance.now(),
  });
  const server = createHttpServer(
    settings,
    recordLimitsOf('callers', {logger, metrics}),
  );
  let isReady = false;
  server.get('/health/live', () => ({live: true}));
  server.get('/health/ready', (_request, reply) =>
    reply.code(isReady ? 200 : 503).send({ready: isReady}),
  );
  await server.register(control.operatorRoutes);
  await server.register(control.announcementRoutes);
  if (settings.instance.roles.includes('router')) {
    await requests.addRoutes(server);
  }
  await control.start();
  requests.start();
  const {address} = settings.instance;
  const {callerPort} = settings.listeners;
  await server.listen({host: address, port: callerPort});
  await waitForPeers(control);
  isReady = true;

  return {
    address: `http://${address}:${callerPort}`,
    unfinished: () => ({requests: requests.inFlight, settlements: 0}),
    async stop() {
      const {announceMilliseconds, drainMilliseconds} = settings.shutdown;
      isReady = false;
      await control.leave();
      await pause(announceMilliseconds);
      requests.stopAccepting();
      const report = await requests.drain(drainMilliseconds);
      await closeHttpServer(server);
      await control.stop();
      await requests.close();
      await tracing.close();
      await metrics.close();
      await unlock?.();
      return report;
    },
  };
}

/** Longest wait for the first gossip reply at startup. */
const joinTimeoutMilliseconds = 2000;

/** Interval at which the wait for a gossip reply checks the membership. */
const joinPollIntervalMilliseconds = 50;

/**
 * Waits until a peer has replied to a gossip request, so that a daemon that has
 * just started doesn't refuse requests because it knows no backend servers.
 */
async function waitForPeers({membership}: Control): Promise<void> {
  const deadline = performance.now() + joinTimeoutMilliseconds;
  while (!membership.hasGossipReply && performance.now() < deadline) {
    await pause(joinPollIntervalMilliseconds);
  }
}

function instanceSource({membership, fetchAnswer}: Control): InstanceSource {
  return {
    isAlive: holder => membership.isHolderAlive(holder),
    liveRouters: () => membership.routers,
    fetchAnswer,
  };
}
