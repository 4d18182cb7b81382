/**
 * @fileoverview Periodic work besides that of the parts themselves.
 */
import {JournalRecovery} from '../grants/journalRecovery.js';
import {AbandonedRequests} from '../ledgerHost/abandonedRequests.js';
import {BackendOutcomes} from '../ledgerHost/backendOutcomes.js';
import {Founder} from '../ledgerHost/founder.js';
import {type LedgerHost} from '../ledgerHost/ledgerHost.js';
import {OrderIssuer} from '../ledgerHost/orderIssuer.js';
import {ReplicaRepair} from '../ledgerHost/replicaRepair.js';
import {type Context, identityOf} from './context.js';
import {type Parts} from './parts.js';

const millisecondsPerSecond = 1000;
const defaultVoters = 3;

/** Periodic work that can be started and stopped. */
export interface Duty {
  start(): void;
  stop(): Promise<void>;
}

/** Builds all periodic work that this instance's roles call for. */
export function createDuties(context: Context, parts: Parts): Duty[] {
  const recovery = createRecovery(context, parts);
  return [
    ...(recovery === undefined ? [] : [recovery]),
    ...createLeaderDuties(context, parts),
  ];
}

/** Builds the founder on an instance with a replica. */
export function createFounder(context: Context): Founder | undefined {
  const {options, host, calls, ownAddress} = context;
  if (host === undefined) return undefined;
  const {settings, clock, logger} = options;
  const request = {instance: settings.instance.name, address: ownAddress};
  return new Founder({
    address: ownAddress,
    initialReplicas: settings.cluster.initialReplicas,
    identity: () => identityOf(context),
    fetchIdentity: address => calls.identity(address, request),
    bootstrapLocally: members => host.bootstrap({members}),
    bootstrapRemotely: (address, members) =>
      calls.bootstrap(address, {members}),
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

/** Work that only the leader does; all replicas look whether it is due. */
function createLeaderDuties(context: Context, parts: Parts): Duty[] {
  const {host} = context;
  if (host === undefined) return [];
  return [
    createRepair(context, parts, host),
    createAbandonedRequests(context, parts, host),
    ...(context.options.givesOrders
      ? [createOrderIssuer(context, parts, host)]
      : []),
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
    abandonedAfterMilliseconds:
      settings.ledger.abandonedAfterSeconds * millisecondsPerSecond,
    clock,
    logger,
    metrics,
  });
}

function createOrderIssuer(
  {options}: Context,
  {membership, ledgerClient}: Parts,
  host: LedgerHost,
): OrderIssuer {
  const {clock, logger, metrics} = options;
  return new OrderIssuer({
    issuer: membership.holder,
    isLeader: () => host.isLeader,
    contracts: () =>
      host.ledger
        .contracts()
        .filter(({retired}) => !retired)
        .map(({contract}) => contract),
    servers: () => membership.directory.entries(clock.now()),
    submit: command => ledgerClient.submit(command),
    clock,
    logger,
    metrics,
  });
}
