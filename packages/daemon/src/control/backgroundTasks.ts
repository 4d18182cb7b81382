/**
 * @fileoverview Background tasks that are not run by a control component.
 */
import {JournalRecovery} from '../grants/journalRecovery.js';
import {AbandonedRequestSettler} from '../ledgerHost/abandonedRequestSettler.js';
import {BackendOutcomeClient} from '../ledgerHost/backendOutcomeClient.js';
import {ClusterBootstrapper} from '../ledgerHost/clusterBootstrapper.js';
import {type LedgerHost} from '../ledgerHost/ledgerHost.js';
import {OrderIssuer} from '../ledgerHost/orderIssuer.js';
import {ReplicaRepair} from '../ledgerHost/replicaRepair.js';
import {type ControlContext, identityOf} from './context.js';
import {type ControlComponents} from './components.js';

const millisecondsPerSecond = 1000;
const defaultVoterCount = 3;

/** Background task that can be started and stopped. */
export interface BackgroundTask {
  start(): void;
  stop(): Promise<void>;
}

/** Creates the background tasks that this instance's roles require. */
export function createBackgroundTasks(
  context: ControlContext,
  components: ControlComponents,
): BackgroundTask[] {
  const recovery = createJournalRecovery(context, components);
  return [
    ...(recovery === undefined ? [] : [recovery]),
    ...createLeaderTasks(context, components),
  ];
}

/** Creates the cluster bootstrapper on an instance with a replica. */
export function createClusterBootstrapper(
  context: ControlContext,
): ClusterBootstrapper | undefined {
  const {options, host, calls, ownAddress} = context;
  if (host === undefined) return undefined;
  const {settings, clock, logger} = options;
  const request = {instance: settings.instance.name, address: ownAddress};
  return new ClusterBootstrapper({
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

function createJournalRecovery(
  {options, store}: ControlContext,
  {membership, ledgerClient}: ControlComponents,
): JournalRecovery | undefined {
  if (store === undefined) return undefined;
  const {settings, clock, logger} = options;
  return new JournalRecovery({
    store,
    holder: membership.holder,
    ledgerClient,
    isHolderAlive: holder => membership.isHolderAlive(holder),
    holderTimeoutMilliseconds:
      settings.ledger.abandonedAfterSeconds * millisecondsPerSecond,
    clock,
    logger,
  });
}

/** Creates tasks that run on each replica but act only on the leader. */
function createLeaderTasks(
  context: ControlContext,
  components: ControlComponents,
): BackgroundTask[] {
  const {host} = context;
  if (host === undefined) return [];
  return [
    createReplicaRepair(context, components, host),
    createAbandonedRequestSettler(context, components, host),
    ...(context.options.issuesOrders
      ? [createOrderIssuer(context, components, host)]
      : []),
  ];
}

function createReplicaRepair(
  {options, calls, ownAddress}: ControlContext,
  {membership}: ControlComponents,
  host: LedgerHost,
): ReplicaRepair {
  const {settings, clock, logger, metrics} = options;
  const {initialReplicas} = settings.cluster;
  const self = {instance: settings.instance.name, address: ownAddress};
  return new ReplicaRepair({
    replica: host.replica,
    ledgerPeers: () => membership.ledgerPeers(),
    instance: name => membership.instance(name),
    fetchIdentity: address => calls.identity(address, self),
    lostAfterMilliseconds:
      settings.ledger.replaceReplicaAfterSeconds * millisecondsPerSecond,
    targetVoters: initialReplicas.length || defaultVoterCount,
    clock,
    logger,
    metrics,
  });
}

function createAbandonedRequestSettler(
  {options, calls}: ControlContext,
  {membership, ledgerClient}: ControlComponents,
  host: LedgerHost,
): AbandonedRequestSettler {
  const {settings, clock, logger, metrics, attemptIds} = options;
  const {directory} = membership;
  const outcomeClient = new BackendOutcomeClient({
    directory,
    attemptIds,
    clock,
  });
  return new AbandonedRequestSettler({
    isLeader: () => host.isLeader,
    openRequests: () => host.ledger.openRequests(),
    ledgerTime: () => host.ledgerTime,
    holderAddress: holder => membership.holderAddress(holder),
    running: async (address, requestKeys) =>
      (await calls.running(address, {requestKeys})).running,
    queryBackends: request => outcomeClient.fetchOutcome(request),
    submit: command => ledgerClient.submit(command),
    abandonedAfterMilliseconds:
      settings.ledger.abandonedAfterSeconds * millisecondsPerSecond,
    clock,
    logger,
    metrics,
  });
}

function createOrderIssuer(
  {options}: ControlContext,
  {membership, ledgerClient}: ControlComponents,
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
