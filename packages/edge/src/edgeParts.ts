/**
 * @fileoverview Creates the components of a router and connects them.
 */
import {HeldGrants, WindowedRetryBudget} from '@dogwoodtrestle/fleet';
import {
  ByteBudget,
  monotonicClockId,
  PeerCallClient,
  PeerCallServer,
  PresenceConnection,
  recordLimitsOf,
} from '@dogwoodtrestle/runtime';
import {checkedHandler} from '@dogwoodtrestle/schema';

import {AdmissionController} from './admissionController.js';
import {ControlPlaneClient} from './controlPlaneClient.js';
import {CrashSubjects} from './crashSubjects.js';
import {type EdgeContext} from './edgeContext.js';
import {type EdgeOptions} from './edgeOptions.js';
import {evacuationListener} from './evacuationListener.js';
import {EventCoalescer} from './eventCoalescer.js';
import {type ServerListener} from './fleetCopy.js';
import {Loans} from './loans.js';
import {ReplyCounter} from './replyCounter.js';
import {createRequestMetrics} from './requestMetrics.js';
import {RouterIdentity} from './routerIdentity.js';
import {ServerCrashes} from './serverCrashes.js';
import {createServerParts} from './serverParts.js';
import {StreamOrigins} from './streamOrigins.js';

/** Most bytes of a call of another process; routers get small ones only. */
const maxPeerCallBytes = 1024 * 1024;

/** Memory of responses that are not relayed yet, of all requests together. */
const maxResponseBytes = 16 * 1024 * 1024;

/** Attempts to connect to another process before the call fails. */
const connectAttempts = 4;

/** Components of a router, but for the server of its callers. */
export interface EdgeParts {
  context: EdgeContext;
  /** Calls other processes. */
  calls: PeerCallClient;
  /** Tells the leader that this process runs. */
  presence: PresenceConnection;
  /** Receives calls of other processes. */
  listener: PeerCallServer;
}

/** Creates the components; none of them runs or listens yet. */
export function createEdgeParts(options: EdgeOptions): EdgeParts {
  const {clock, logger, metrics, proxy} = options;
  const calls = new PeerCallClient({
    localAddress: proxy?.localAddress,
    connectAttempts,
  });
  const grants = new HeldGrants();
  const requestMetrics = createRequestMetrics(metrics);
  const {topics, ...servers} = createServerParts(
    options,
    requestMetrics,
    () => control,
  );
  const {pool, connectionWaits} = servers;
  const identity = new RouterIdentity({
    clock,
    instance: options.instance,
    steadyClock: options.steadyClock ?? monotonicClockId(),
  });
  const onServers: ServerListener['onServers'] = (records, listOptions) => {
    for (const server of records) {
      logger.info({server}, 'backend server changed');
    }
    pool.update(records, listOptions);
    crashes.observeRecords(records);
    streams.observeServers();
    connectionWaits.dispatchAll();
  };
  const crashes = new ServerCrashes({
    clock,
    logger,
    metrics,
    onCrash: () => control.callAtOnce(),
  });
  const crashSubjects = new CrashSubjects(clock, logger);
  const replies = new ReplyCounter(options);
  const control: ControlPlaneClient = new ControlPlaneClient(
    options,
    calls,
    identity,
    grants,
    {
      onServers,
      onEvacuations: evacuationListener({
        logger,
        pool,
        control: () => control,
      }),
      topics: [...topics, crashes, crashSubjects],
      onLeader: address => presence.follow(address),
    },
    replies,
  );
  const presence = new PresenceConnection({
    clock,
    logger,
    method: 'presence',
    message: () => ({
      router: identity.routerId,
      address: options.peerAddress,
    }),
    localAddress: proxy?.localAddress,
  });
  const participant = {
    life: () => identity.routerId,
    grants,
    routers: () => control.routers,
    isConnected: () => control.isConnected,
    report: () => control.report(),
  };
  const loans = new Loans(options, calls, participant, replies);
  const streams = new StreamOrigins({
    clock,
    logger,
    calls,
    pool,
    leader: () => control.leaderAddress,
    routerCount: () => control.routerCount,
  });
  const admission = new AdmissionController({
    clock,
    logger,
    waits: requestMetrics.waits,
  });
  const coalescer = new EventCoalescer({
    clock,
    metrics,
    maxDelayMilliseconds: options.maxEventDelayMilliseconds,
    utilization: () => admission.utilization,
  });
  const context: EdgeContext = {
    options,
    clock,
    logger,
    admission,
    grants,
    ...servers,
    crashes,
    crashSubjects,
    control,
    loans,
    streams,
    coalescer,
    retryBudget: new WindowedRetryBudget(options.retryBudget),
    responseBudget: new ByteBudget(maxResponseBytes),
    metrics: requestMetrics,
    routes: () => control.routes,
  };
  const listener = createPeerListener(options, context);
  return {context, calls, presence, listener};
}

/** Creates the server for calls of other processes. */
function createPeerListener(
  {peerAddress, proxy, logger, metrics, maxPeerConnections}: EdgeOptions,
  {loans, control}: Pick<EdgeContext, 'loans' | 'control'>,
): PeerCallServer {
  const [host = '', port = '0'] = peerAddress.split(':');
  return new PeerCallServer({
    host,
    port: proxy?.listenPort ?? Number(port),
    maxCallBytes: maxPeerCallBytes,
    maxConnections: maxPeerConnections,
    onLimit: recordLimitsOf('processes', {logger, metrics}),
    handlers: {
      lend: checkedHandler('LoanRequest', request => loans.lend(request)),
      refresh: async () => {
        void control.askAgain();
        return {};
      },
    },
    logger,
  });
}
