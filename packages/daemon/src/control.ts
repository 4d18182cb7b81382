/**
 * @fileoverview Builds the control side of a daemon from its settings.
 */
import {type Directory, peerAddressOf} from '@dogwoodtrestle/routing';
import {
  type ExplanationView,
  type PeerIdentity,
  type ReplicaView,
  type Settings,
  type StoredAnswer,
} from '@dogwoodtrestle/schema';
import {type FastifyPluginAsync} from 'fastify';

import {Configuration} from './configuration/configuration.js';
import {LedgerClient} from './ledgerClient/ledgerClient.js';
import {foundCluster} from './ledgerHost/founding.js';
import {LedgerHost} from './ledgerHost/ledgerHost.js';
import {createAnnouncementRoutes} from './membership/announcementRoutes.js';
import {Membership, ownPeerAddress} from './membership/membership.js';
import {Explainer} from './operators/explainer.js';
import {createOperatorRoutes} from './operators/operatorRoutes.js';
import {InstanceCalls, maybeReceived} from './peer/instanceCalls.js';
import {createPeerApi, type PeerHandlers} from './peer/peerApi.js';
import {derivePeerKey} from './peer/peerAuthentication.js';
import {PeerClient} from './peer/peerClient.js';
import {PeerServer} from './peer/peerServer.js';
import {type Clock, sleep, systemClock} from './util/clock.js';
import {type Logger, silentLogger} from './util/logger.js';
import {type Metrics, silentMetrics} from './util/metrics.js';

/** Keys, as read from their files. */
export interface ControlSecrets {
  clusterKey: string;
  operatorKey?: string;
  backendKey?: string;
}

/** What the control side needs. */
export interface ControlOptions {
  settings: Settings;
  secrets: ControlSecrets;
  /** Explains a request to an operator. */
  explain?: (requestId: string) => Promise<ExplanationView>;
  /** The answer of a finished request, if this instance keeps it. */
  keptAnswer?(requestKey: string): StoredAnswer | undefined;
  /** Requests that this instance has running at a backend server. */
  inFlight?: (backend: string) => number;
  /** Whether this instance sends no requests to a backend server for now. */
  isEjected?: (backend: string) => boolean;
  /** Called if the ledger replica stops because of an error. */
  onReplicaFailure?: (error: unknown) => void;
  clock?: Clock;
  logger?: Logger;
  metrics?: Metrics;
}

const defaultOptions = {
  explain: async (requestId: string) => ({requestId, found: false}),
  keptAnswer: () => undefined,
  inFlight: () => 0,
  isEjected: () => false,
  onReplicaFailure: () => {},
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
};

/** The running control side. */
export interface Control {
  ledgerClient: LedgerClient;
  configuration: Configuration;
  membership: Membership;
  directory: Directory;
  /** Fetches the kept answer of a request from the instance that ran it. */
  fetchAnswer(
    instance: string,
    requestKey: string,
  ): Promise<StoredAnswer | undefined>;
  /** Serves `/operator/v1`. */
  operatorRoutes: FastifyPluginAsync;
  /** Serves `/v1/announcements`. */
  announcementRoutes: FastifyPluginAsync;
  /** Listens on the peer port and starts all periodic work. */
  start: () => Promise<void>;
  /** Tells the other instances that this one takes no more work. */
  leave: () => Promise<void>;
  stop: () => Promise<void>;
}

const foundingRetryMilliseconds = 500;

/** Opens the durable state and builds all parts; nothing runs yet. */
export async function createControl(input: ControlOptions): Promise<Control> {
  const options = {...defaultOptions, ...input};
  const {settings, secrets, clock, logger, metrics} = options;
  const ownAddress = ownPeerAddress(settings);
  const incarnation = Math.round(clock.wallNow());
  const credentials = {
    cluster: settings.cluster.name,
    instance: settings.instance.name,
    key: derivePeerKey(secrets.clusterKey),
  };
  const client = new PeerClient({credentials, clock, metrics});
  let host: LedgerHost | undefined = undefined;
  const calls = new InstanceCalls({
    client,
    ownAddress,
    replica: () => host,
    clock,
  });
  host = await openHost(options, ownAddress, calls);
  const membership = new Membership({
    settings,
    incarnation,
    exchange: (address, request) => calls.gossip(address, request),
    sayFarewell: (address, request) => calls.farewell(address, request),
    status: () => ({
      revision: configuration.revision,
      renewedMillisecondsAgo: configuration.renewedMillisecondsAgo,
    }),
    inFlight: options.inFlight,
    isEjected: options.isEjected,
    clock,
    logger,
    metrics,
  });
  const addresses = () => membership.ledgerAddresses();
  const ledgerClient = new LedgerClient({
    calls,
    addresses,
    maybeReceived,
    submitTimeoutMilliseconds: settings.ledger.submitTimeoutMilliseconds,
    clock,
    logger,
    metrics,
  });
  const configuration: Configuration = new Configuration({
    ledgerClient,
    addresses,
    changes: (address, request) => calls.changes(address, request),
    clock,
    logger,
    metrics,
  });
  const identity = (): PeerIdentity => ({
    instance: settings.instance.name,
    incarnation,
    address: ownAddress,
    wallTime: Math.round(clock.wallNow()),
    ...(host === undefined ? {} : {replica: host.identity()}),
  });
  const handlers: PeerHandlers = {
    identity: async () => identity(),
    gossip: request => membership.answer(request),
    receiveFarewell: request => membership.receiveFarewell(request),
    explain: ({requestId}) => options.explain(requestId),
    keptAnswer: ({requestKey}) => ({answer: options.keptAnswer(requestKey)}),
    replica: host,
  };
  const explainer = new Explainer({
    here: options.explain,
    peers: () => membership.livePeers().map(peerAddressOf),
    ask: (address, requestId) => calls.explain(address, {requestId}),
    ledgerClient,
  });
  const server = new PeerServer({
    api: createPeerApi(handlers),
    credentials,
    address: settings.instance.address,
    port: settings.listeners.peerPort,
    clock,
    logger,
    metrics,
  });
  const founder = new Founder(options, calls, ownAddress, identity, host);
  return {
    ledgerClient,
    configuration,
    membership,
    directory: membership.directory,
    fetchAnswer: async (instance, requestKey) => {
      const record = membership.instance(instance);
      if (record === undefined) return undefined;
      const address = peerAddressOf(record);
      const kept = calls.keptAnswer(address, {requestKey});
      return kept.then(
        ({answer}) => answer,
        () => undefined,
      );
    },
    operatorRoutes: createOperatorRoutes({
      operatorKey: secrets.operatorKey,
      ledgerClient,
      instances: () => membership.instances(),
      backends: () => membership.backends(),
      replicas: () => viewReplicas(calls, addresses()),
      explain: requestId => explainer.explain(requestId),
      logger,
    }),
    announcementRoutes: createAnnouncementRoutes({
      backendKey: secrets.backendKey,
      membership,
      logger,
      metrics,
    }),
    start: async () => {
      await server.start();
      host?.start();
      void founder.run();
      membership.start();
      ledgerClient.start();
      configuration.start();
    },
    leave: () => membership.leave(),
    stop: async () => {
      founder.stop();
      await configuration.stop();
      await ledgerClient.stop();
      await host?.stop();
      await membership.stop();
      await server.stop();
      await client.stop();
    },
  };
}

async function openHost(
  options: Required<ControlOptions>,
  ownAddress: string,
  calls: InstanceCalls,
): Promise<LedgerHost | undefined> {
  const {settings, clock, logger, metrics, onReplicaFailure} = options;
  const {roles, dataFolder, name} = settings.instance;
  if (!roles.includes('ledger') || dataFolder === undefined) return undefined;
  return LedgerHost.open({
    dataFolder,
    instance: name,
    address: ownAddress,
    settings: settings.ledger,
    send: (to, message) => calls.receive(to.address, message),
    onFailure: onReplicaFailure,
    clock,
    logger,
    metrics,
  });
}

/** Tries to found the cluster until that is done or somebody else's part. */
class Founder {
  private stopped = false;

  constructor(
    private readonly options: Required<ControlOptions>,
    private readonly calls: InstanceCalls,
    private readonly ownAddress: string,
    private readonly identity: () => PeerIdentity,
    private readonly host: LedgerHost | undefined,
  ) {}

  async run(): Promise<void> {
    const {clock, logger} = this.options;
    try {
      while (!this.stopped && (await this.attempt()) === 'waiting') {
        logger.debug({}, 'waiting for all initial replicas to found');
        await sleep(clock, foundingRetryMilliseconds);
      }
    } catch (error) {
      logger.error({err: error}, 'the cluster could not be founded');
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async attempt() {
    const {host, calls, ownAddress, identity} = this;
    const {settings} = this.options;
    if (host === undefined) return 'notFounder';
    const request = {instance: settings.instance.name, address: ownAddress};
    return foundCluster({
      address: ownAddress,
      initialReplicas: settings.cluster.initialReplicas,
      identity,
      ask: address => calls.identity(address, request),
      foundLocally: members => host.found({members}),
      foundRemotely: (address, members) => calls.found(address, {members}),
    });
  }
}

/** Asks all ledger instances for their replicas; absent ones are left out. */
async function viewReplicas(
  calls: InstanceCalls,
  addresses: string[],
): Promise<ReplicaView[]> {
  const answers = await Promise.allSettled(
    addresses.map(address => calls.view(address)),
  );
  return answers.flatMap(answer =>
    answer.status === 'fulfilled' ? [answer.value] : [],
  );
}
