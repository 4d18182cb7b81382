/**
 * @fileoverview Builds the control side of a daemon from its settings.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
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
import {GrantRecall} from './grants/grantRecall.js';
import {Grants} from './grants/grants.js';
import {type JournalPlace} from './grants/journal.js';
import {localPlace, remotePlace} from './grants/journalPlaces.js';
import {JournalRecovery} from './grants/journalRecovery.js';
import {JournalStore} from './grants/journalStore.js';
import {LedgerClient} from './ledgerClient/ledgerClient.js';
import {AbandonedRequests} from './ledgerHost/abandonedRequests.js';
import {BackendOutcomes} from './ledgerHost/backendOutcomes.js';
import {Founder} from './ledgerHost/founder.js';
import {LedgerHost} from './ledgerHost/ledgerHost.js';
import {ReplicaRepair} from './ledgerHost/replicaRepair.js';
import {createAnnouncementRoutes} from './membership/announcementRoutes.js';
import {Membership, ownPeerAddress} from './membership/membership.js';
import {Explainer} from './operators/explainer.js';
import {createOperatorRoutes} from './operators/operatorRoutes.js';
import {InstanceCalls, maybeReceived} from './peer/instanceCalls.js';
import {createPeerApi, type PeerHandlers} from './peer/peerApi.js';
import {derivePeerKey} from './peer/peerAuthentication.js';
import {PeerClient} from './peer/peerClient.js';
import {PeerServer} from './peer/peerServer.js';
import {type Clock, systemClock} from './util/clock.js';
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
  keptAnswer?: (requestKey: string) => StoredAnswer | undefined;
  /** Requests that this instance has running at a backend server. */
  inFlight?: (backend: string) => number;
  /** Whether this instance sends no requests to a backend server for now. */
  isEjected?: (backend: string) => boolean;
  /** Whether this instance is still running a request, by its scoped key. */
  isRunning?: (requestKey: string) => boolean;
  /** Ids that the attempts of a request can have had at backend servers. */
  attemptIds?: (request: OpenRequestRecord) => string[];
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
  isRunning: () => true,
  attemptIds: () => [],
  onReplicaFailure: () => {},
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
};

/** The running control side. */
export interface Control {
  /** Identity of this process as a holder: `name#incarnation`. */
  holder: string;
  ledgerClient: LedgerClient;
  configuration: Configuration;
  grants: Grants;
  membership: Membership;
  directory: Directory;
  /** Fetches the kept answer of a request from the holder that ran it. */
  fetchAnswer: (
    holder: string,
    requestKey: string,
  ) => Promise<StoredAnswer | undefined>;
  /** All replicas that can be reached, as operators see them. */
  replicas: () => Promise<ReplicaView[]>;
  /** Serves `/operator/v1`. */
  operatorRoutes: FastifyPluginAsync;
  /** Serves `/v1/announcements`. */
  announcementRoutes: FastifyPluginAsync;
  /** Listens on the peer port and starts all periodic work. */
  start: () => Promise<void>;
  /** Tells the other instances that this one takes no more work. */
  leave: () => Promise<void>;
  /** Returns grants, hands leadership over, and closes everything. */
  stop: () => Promise<void>;
}

/** What the parts are built from. */
interface Context {
  options: Required<ControlOptions>;
  incarnation: number;
  ownAddress: string;
  calls: InstanceCalls;
  client: PeerClient;
  credentials: PeerClientCredentials;
  host?: LedgerHost;
  store?: JournalStore;
}

type PeerClientCredentials = ConstructorParameters<
  typeof PeerClient
>[0]['credentials'];

/** The parts that others are built on. */
interface Parts {
  membership: Membership;
  ledgerClient: LedgerClient;
  configuration: Configuration;
  grants: Grants;
}

const millisecondsPerSecond = 1000;
const defaultVoters = 3;

/** Opens the durable state and builds all parts; nothing runs yet. */
export async function createControl(input: ControlOptions): Promise<Control> {
  const context = await createContext({...defaultOptions, ...input});
  const parts = createParts(context);
  const {membership, ledgerClient, configuration, grants} = parts;
  const server = createServer(context, parts);
  const founder = createFounder(context);
  const recovery = createRecovery(context, parts);
  const duties = createLeaderDuties(context, parts);
  const {host, store, client} = context;
  return {
    ...parts,
    holder: membership.holder,
    directory: membership.directory,
    fetchAnswer: (holder, requestKey) =>
      fetchAnswer(context, membership, holder, requestKey),
    replicas: () => viewReplicas(context.calls, membership.ledgerAddresses()),
    operatorRoutes: operatorRoutesOf(context, parts),
    announcementRoutes: announcementRoutesOf(context, parts),
    start: async () => {
      await server.start();
      host?.start();
      founder?.start();
      membership.start();
      ledgerClient.start();
      configuration.start();
      grants.start();
      recovery?.start();
      for (const duty of duties) duty.start();
    },
    leave: () => membership.leave(),
    stop: async () => {
      founder?.stop();
      for (const duty of duties) await duty.stop();
      await recovery?.stop();
      await grants.stop();
      await configuration.stop();
      await ledgerClient.stop();
      await host?.stop();
      await membership.stop();
      await server.stop();
      await client.stop();
      await store?.close();
    },
  };
}

/** Asks a holder for a kept answer; without one if it can't be reached. */
async function fetchAnswer(
  {calls}: Context,
  membership: Membership,
  holder: string,
  requestKey: string,
): Promise<StoredAnswer | undefined> {
  const address = membership.holderAddress(holder);
  if (address === undefined) return undefined;
  try {
    return (await calls.keptAnswer(address, {requestKey})).answer;
  } catch {
    return undefined;
  }
}

async function createContext(
  options: Required<ControlOptions>,
): Promise<Context> {
  const {settings, secrets, clock, logger, metrics} = options;
  const {dataFolder} = settings.instance;
  const credentials = {
    cluster: settings.cluster.name,
    instance: settings.instance.name,
    key: derivePeerKey(secrets.clusterKey),
  };
  const client = new PeerClient({
    credentials,
    localAddress: settings.instance.address,
    clock,
    metrics,
  });
  const ownAddress = ownPeerAddress(settings);
  const context: Context = {
    options,
    incarnation: Math.round(clock.wallNow()),
    ownAddress,
    client,
    credentials,
    calls: new InstanceCalls({
      client,
      ownAddress,
      replica: () => context.host,
      clock,
    }),
  };
  context.host = await openHost(context);
  if (dataFolder !== undefined) {
    context.store = await JournalStore.open({dataFolder, logger});
  }
  return context;
}

async function openHost({
  options,
  ownAddress,
  calls,
}: Context): Promise<LedgerHost | undefined> {
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

function createParts(context: Context): Parts {
  const {options, calls} = context;
  const {clock, logger, metrics, settings} = options;
  const membership: Membership = createMembership(context, () => ({
    revision: configuration.revision,
    renewedMillisecondsAgo: configuration.renewedMillisecondsAgo,
  }));
  const addresses = () => membership.ledgerAddresses();
  const recall = createRecall(context, membership, ids => grants.recall(ids));
  const ledgerClient = new LedgerClient({
    calls,
    addresses,
    maybeReceived,
    recall: holders => recall.recall(holders),
    submitTimeoutMilliseconds: settings.ledger.submitTimeoutMilliseconds,
    clock,
    logger,
    metrics,
  });
  const configuration: Configuration = new Configuration({
    ledgerClient,
    addresses,
    changes: (address, request) => calls.changes(address, request),
    onChange: view => grants.contractChanged(view),
    // An idle client wouldn't notice that the quorum is out of reach.
    onStale: () => void ledgerClient.probe(),
    clock,
    logger,
    metrics,
  });
  const grants: Grants = new Grants({
    holder: membership.holder,
    ledgerClient,
    contractOf: customer => configuration.cached(customer),
    choosePlace: () => choosePlace(context, membership),
    isAlive: instance => membership.isAlive(instance),
    routers: () => membership.routers,
    clock,
    logger,
    metrics,
  });
  return {membership, ledgerClient, configuration, grants};
}

function createMembership(
  {options, incarnation, calls}: Context,
  status: () => {revision: number; renewedMillisecondsAgo: number},
): Membership {
  const {settings, inFlight, isEjected, clock, logger, metrics} = options;
  return new Membership({
    settings,
    incarnation,
    exchange: (address, request) => calls.gossip(address, request),
    sayFarewell: (address, request) => calls.farewell(address, request),
    status,
    inFlight,
    isEjected,
    clock,
    logger,
    metrics,
  });
}

function createRecall(
  {calls}: Context,
  membership: Membership,
  recallHere: Grants['recall'],
): GrantRecall {
  return new GrantRecall({
    ask: async (holder, request) => {
      if (holder === membership.holder) return recallHere(request.grantIds);
      const address = membership.holderAddress(holder);
      if (address === undefined) throw new Error(`${holder} is gone`);
      return calls.recall(address, request);
    },
  });
}

/** The own disk, else the nearest ledger instance that is heard of. */
function choosePlace(
  {options, store, calls}: Context,
  membership: Membership,
): JournalPlace | undefined {
  const {name} = options.settings.instance;
  if (store !== undefined) return localPlace(name, store);
  const [nearest] = membership.ledgerPeers();
  if (nearest === undefined) return undefined;
  const address = membership.addressOf(nearest.name);
  return address === undefined
    ? undefined
    : remotePlace(nearest.name, address, calls);
}

function createServer(context: Context, parts: Parts): PeerServer {
  const {options, credentials, store, host} = context;
  const {settings, isRunning, clock, logger, metrics} = options;
  const {membership, grants} = parts;
  const handlers: PeerHandlers = {
    identity: async () => identityOf(context),
    gossip: request => membership.answer(request),
    receiveFarewell: request => membership.receiveFarewell(request),
    explain: ({requestId}) => options.explain(requestId),
    keptAnswer: ({requestKey}) => ({answer: options.keptAnswer(requestKey)}),
    recall: ({grantIds}) => grants.recall(grantIds),
    running: ({requestKeys}) => ({
      running: requestKeys.filter(
        key => isRunning(key) || grants.isRunning(key),
      ),
    }),
    replica: host,
    journals: store && {
      append: ({grantId, entries}) => store.append(grantId, entries),
      remove: ({grantId}) => store.remove(grantId),
    },
  };
  return new PeerServer({
    api: createPeerApi(handlers),
    credentials,
    address: settings.instance.address,
    port: settings.listeners.peerPort,
    clock,
    logger,
    metrics,
  });
}

function identityOf(context: Context): PeerIdentity {
  const {options, incarnation, ownAddress, host} = context;
  return {
    instance: options.settings.instance.name,
    incarnation,
    address: ownAddress,
    wallTime: Math.round(options.clock.wallNow()),
    ...(host === undefined ? {} : {replica: host.identity()}),
  };
}

function createFounder(context: Context): Founder | undefined {
  const {options, host, calls, ownAddress} = context;
  if (host === undefined) return undefined;
  const {settings, clock, logger} = options;
  const request = {instance: settings.instance.name, address: ownAddress};
  return new Founder({
    address: ownAddress,
    initialReplicas: settings.cluster.initialReplicas,
    identity: () => identityOf(context),
    ask: address => calls.identity(address, request),
    foundLocally: members => host.found({members}),
    foundRemotely: (address, members) => calls.found(address, {members}),
    clock,
    logger,
  });
}

function createRecovery(
  {options, store}: Context,
  {membership, ledgerClient}: Parts,
): JournalRecovery | undefined {
  if (store === undefined) return undefined;
  const {settings, clock, logger} = options;
  return new JournalRecovery({
    store,
    holder: membership.holder,
    ledgerClient,
    isHolderAlive: holder => membership.isHolderAlive(holder),
    goneMilliseconds:
      settings.ledger.abandonedAfterSeconds * millisecondsPerSecond,
    clock,
    logger,
  });
}

/** Work that only the leader does; it is looked for on all replicas. */
interface LeaderDuty {
  start(): void;
  stop(): Promise<void>;
}

function createLeaderDuties(context: Context, parts: Parts): LeaderDuty[] {
  const {host} = context;
  if (host === undefined) return [];
  return [
    createRepair(context, parts, host),
    createAbandonedRequests(context, parts, host),
  ];
}

function createRepair(
  {options, calls, ownAddress}: Context,
  {membership}: Parts,
  host: LedgerHost,
): ReplicaRepair {
  const {settings, clock, logger, metrics} = options;
  const {initialReplicas} = settings.cluster;
  const self = {instance: settings.instance.name, address: ownAddress};
  return new ReplicaRepair({
    replica: host.replica,
    ledgerPeers: () => membership.ledgerPeers(),
    instance: name => membership.instance(name),
    ask: address => calls.identity(address, self),
    lostAfterMilliseconds:
      settings.ledger.replaceReplicaAfterSeconds * millisecondsPerSecond,
    targetVoters: initialReplicas.length || defaultVoters,
    clock,
    logger,
    metrics,
  });
}

function createAbandonedRequests(
  {options, calls}: Context,
  {membership, ledgerClient}: Parts,
  host: LedgerHost,
): AbandonedRequests {
  const {settings, clock, logger, metrics, attemptIds} = options;
  const {directory} = membership;
  const outcomes = new BackendOutcomes({directory, attemptIds, clock});
  return new AbandonedRequests({
    isLeader: () => host.isLeader,
    openRequests: () => host.ledger.openRequests(),
    ledgerTime: () => host.ledgerTime,
    holderAddress: holder => membership.holderAddress(holder),
    running: async (address, requestKeys) =>
      (await calls.running(address, {requestKeys})).running,
    askBackends: request => outcomes.ask(request),
    submit: command => ledgerClient.submit(command),
    instance: settings.instance.name,
    abandonedAfterMilliseconds:
      settings.ledger.abandonedAfterSeconds * millisecondsPerSecond,
    clock,
    logger,
    metrics,
  });
}

function operatorRoutesOf(
  {options, calls}: Context,
  {membership, ledgerClient}: Parts,
): FastifyPluginAsync {
  const {secrets, explain, logger} = options;
  const explainer = new Explainer({
    here: explain,
    peers: () => membership.livePeers().map(peerAddressOf),
    ask: (address, requestId) => calls.explain(address, {requestId}),
    ledgerClient,
  });
  return createOperatorRoutes({
    operatorKey: secrets.operatorKey,
    ledgerClient,
    instances: () => membership.instances(),
    backends: () => membership.backends(),
    replicas: () => viewReplicas(calls, membership.ledgerAddresses()),
    explain: requestId => explainer.explain(requestId),
    logger,
  });
}

function announcementRoutesOf(
  {options}: Context,
  {membership}: Parts,
): FastifyPluginAsync {
  const {secrets, logger, metrics} = options;
  const {backendKey} = secrets;
  return createAnnouncementRoutes({backendKey, membership, logger, metrics});
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
