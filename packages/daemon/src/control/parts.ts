/**
 * @fileoverview Builds the parts that the others are built on.
 */
import {Configuration} from '../configuration/configuration.js';
import {GrantRecall} from '../grants/grantRecall.js';
import {Grants} from '../grants/grants.js';
import {type JournalPlace} from '../grants/journal.js';
import {localPlace, remotePlace} from '../grants/journalPlaces.js';
import {LedgerClient} from '../ledgerClient/ledgerClient.js';
import {Membership} from '../membership/membership.js';
import {maybeReceived} from '../peer/instanceCalls.js';
import {type Context} from './context.js';

/** The parts that others are built on. */
export interface Parts {
  membership: Membership;
  ledgerClient: LedgerClient;
  configuration: Configuration;
  grants: Grants;
}

/** Builds the parts; nothing runs yet. */
export function createParts(context: Context): Parts {
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
    sendFarewell: (address, request) => calls.farewell(address, request),
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
