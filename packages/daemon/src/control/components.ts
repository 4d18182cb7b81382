/**
 * @fileoverview Creates the main components of the control plane.
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

/** Main components, on which routes and background tasks depend. */
export interface ControlComponents {
  membership: Membership;
  ledgerClient: LedgerClient;
  configuration: Configuration;
  grants: Grants;
}

/** Creates the components without starting them. */
export function createComponents(context: ControlContext): ControlComponents {
  const {options, calls} = context;
  const {clock, logger, metrics, settings} = options;
  const membership: Membership = createMembership(context, () => ({
    revision: configuration.revision,
    renewedMillisecondsAgo: configuration.renewedMillisecondsAgo,
  }));
  const addresses = () => membership.ledgerAddresses();
  const recall = createGrantRecall(context, membership, ids =>
    grants.recall(ids),
  );
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
    // An idle client would not detect that the quorum is unreachable.
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
    sendFarewell: (address, request) => calls.farewell(address, request),
    status,
    inFlight,
    isEjected,
    clock,
    logger,
    metrics,
  });
}

function createGrantRecall(
  {calls}: ControlContext,
  membership: Membership,
  recallLocally: Grants['recall'],
): GrantRecall {
  return new GrantRecall({
    sendRecall: async (holder, request) => {
      if (holder === membership.holder) return recallLocally(request.grantIds);
      const address = membership.holderAddress(holder);
      if (address === undefined) throw new Error(`${holder} is unreachable`);
      return calls.recall(address, request);
    },
  });
}

/** Returns the local disk, or else the nearest live ledger instance. */
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
