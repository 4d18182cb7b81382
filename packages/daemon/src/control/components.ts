/**
 * @fileoverview Builds the parts that the others are built on.
 */
import {Configuration} from '../configuration/configuration.js';
import {GrantRecall} from '../grants/grantRecall.js';
import {Grants} from '../grants/grants.js';
import {type JournalLocation} from '../grants/journalLocation.js';
import {
  localJournalLocation,
  remoteJournalLocation,
} from '../grants/journalLocations.js';
import {LedgerClient} from '../ledgerClient/ledgerClient.js';
import {Membership} from '../membership/membership.js';
import {maybeReceived} from '../peer/instanceCalls.js';
import {type ControlContext} from './context.js';

/** The parts that others are built on. */
export interface ControlComponents {
  membership: Membership;
  ledgerClient: LedgerClient;
  configuration: Configuration;
  grants: Grants;
}

/** Builds the parts; nothing runs yet. */
export function createComponents(context: ControlContext): ControlComponents {
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
    chooseJournalLocation: () => chooseJournalLocation(context, membership),
    isAlive: instance => membership.isAlive(instance),
    routers: () => membership.routers,
    clock,
    logger,
    metrics,
  });
  return {membership, ledgerClient, configuration, grants};
}

function createMembership(
  {options, incarnation, calls}: ControlContext,
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
  {calls}: ControlContext,
  membership: Membership,
  recallHere: Grants['recall'],
): GrantRecall {
  return new GrantRecall({
    sendRecall: async (holder, request) => {
      if (holder === membership.holder) return recallHere(request.grantIds);
      const address = membership.holderAddress(holder);
      if (address === undefined) throw new Error(`${holder} is gone`);
      return calls.recall(address, request);
    },
  });
}

/** The own disk, else the nearest ledger instance that is heard of. */
function chooseJournalLocation(
  {options, store, calls}: ControlContext,
  membership: Membership,
): JournalLocation | undefined {
  const {name} = options.settings.instance;
  if (store !== undefined) return localJournalLocation(name, store);
  const [nearest] = membership.ledgerPeers();
  if (nearest === undefined) return undefined;
  const address = membership.addressOf(nearest.name);
  return address === undefined
    ? undefined
    : remoteJournalLocation(nearest.name, address, calls);
}
