/**
 * @fileoverview What the parts of the control side are built from.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {
  type ExplanationView,
  type PeerIdentity,
  type Settings,
  type StoredAnswer,
} from '@dogwoodtrestle/schema';

import {JournalStore} from '../grants/journalStore.js';
import {BillFetcher} from '../ledgerHost/billFetcher.js';
import {LedgerHost} from '../ledgerHost/ledgerHost.js';
import {ownPeerAddress} from '../membership/membership.js';
import {InstanceCalls} from '../peer/instanceCalls.js';
import {
  derivePeerKey,
  type PeerCredentials,
} from '../peer/peerAuthentication.js';
import {PeerClient} from '../peer/peerClient.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';

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
  /** Whether the leader gives orders to backend servers. */
  issuesOrders?: boolean;
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
  issuesOrders: false,
  onReplicaFailure: () => {},
  clock: systemClock,
  logger: silentLogger,
  metrics: silentMetrics,
};

/** What the parts are built from. */
export interface ControlContext {
  options: Required<ControlOptions>;
  incarnation: number;
  ownAddress: string;
  calls: InstanceCalls;
  client: PeerClient;
  credentials: PeerCredentials;
  host?: LedgerHost;
  store?: JournalStore;
}

/** Opens the durable state. */
export async function createContext(
  input: ControlOptions,
): Promise<ControlContext> {
  const options = {...defaultOptions, ...input};
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
  const context: ControlContext = {
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

async function openHost(
  context: ControlContext,
): Promise<LedgerHost | undefined> {
  const {options, ownAddress, calls} = context;
  const {settings, clock, logger, metrics, onReplicaFailure} = options;
  const {roles, dataFolder, name} = settings.instance;
  if (!roles.includes('ledger') || dataFolder === undefined) return undefined;
  return LedgerHost.open({
    dataFolder,
    instance: name,
    address: ownAddress,
    settings: settings.ledger,
    send: (to, message) => calls.receive(to.address, message),
    fetchBills: gap => billFetcherOf(context).fetch(gap),
    onFailure: onReplicaFailure,
    clock,
    logger,
    metrics,
  });
}

/** Asks the other members of the group. */
function billFetcherOf({calls, ownAddress, host}: ControlContext): BillFetcher {
  return new BillFetcher({
    addresses: () =>
      (host?.replica.status().members ?? [])
        .map(({address}) => address)
        .filter(address => address !== ownAddress),
    fetchPage: (address, request) => calls.archivedBills(address, request),
  });
}

/** Identity of this instance, for founding and repair. */
export function identityOf(context: ControlContext): PeerIdentity {
  const {options, incarnation, ownAddress, host} = context;
  return {
    instance: options.settings.instance.name,
    incarnation,
    address: ownAddress,
    wallTime: Math.round(options.clock.wallNow()),
    ...(host === undefined ? {} : {replica: host.identity()}),
  };
}
