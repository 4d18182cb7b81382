/**
 * @fileoverview Shared dependencies of the control components.
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

/** Keys as read from their files. */
export interface ControlSecrets {
  clusterKey: string;
  operatorKey?: string;
  backendKey?: string;
}

/** Options of the control components. */
export interface ControlOptions {
  settings: Settings;
  secrets: ControlSecrets;
  /** Explains a request to an operator. */
  explain?: (requestId: string) => Promise<ExplanationView>;
  /** Answer of a finished request, if this instance stores it. */
  keptAnswer?: (requestKey: string) => StoredAnswer | undefined;
  /** Number of requests of this instance in flight at a backend server. */
  inFlight?: (backend: string) => number;
  /** Whether this instance currently sends no requests to a backend server. */
  isEjected?: (backend: string) => boolean;
  /** Whether this instance is running the request with a scoped key. */
  isRunning?: (requestKey: string) => boolean;
  /** Possible attempt ids of a request at backend servers. */
  attemptIds?: (request: OpenRequestRecord) => string[];
  /** Whether the leader issues orders to backend servers. */
  issuesOrders?: boolean;
  /** Called if an error stops the ledger replica. */
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

/** Dependencies shared by the control components. */
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

/** Opens the durable state and creates the shared dependencies. */
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
  context.host = await openLedgerHost(context);
  if (dataFolder !== undefined) {
    context.store = await JournalStore.open({dataFolder, logger});
  }
  return context;
}

async function openLedgerHost(
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
    fetchBills: gap => createBillFetcher(context).fetch(gap),
    onFailure: onReplicaFailure,
    clock,
    logger,
    metrics,
  });
}

/** Creates the fetcher of bills from other members of the replica group. */
function createBillFetcher({
  calls,
  ownAddress,
  host,
}: ControlContext): BillFetcher {
  return new BillFetcher({
    addresses: () =>
      (host?.replica.status().members ?? [])
        .map(({address}) => address)
        .filter(address => address !== ownAddress),
    fetchPage: (address, request) => calls.archivedBills(address, request),
  });
}

/** Returns this instance's identity, for bootstrap and replica repair. */
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
