/**
 * @fileoverview What the backend servers should offer between them, derived
 * from the contracts and from demand.
 */
import {type Contract} from '@dogwoodtrestle/schema';

import {type Priority, priorityRank} from '../priority.js';

/** A model as it is loaded, with an adapter or without. */
export interface ModelOffer {
  model: string;
  version?: string;
  adapter?: string;
}

export interface WantedOffer extends ModelOffer {
  /** Number of servers that should have it loaded. */
  servers: number;
  /** Of the most urgent contract that allows it. */
  priority: Priority;
}

export interface WantedOffersOptions {
  /** Servers for an offer that a contract allows, however little is asked. */
  minimumServers: number;
  /** Share of its capacity that a server should be used to. */
  targetUtilisation: number;
}

export const defaultWantedOffersOptions: WantedOffersOptions = {
  minimumServers: 2,
  targetUtilisation: 0.7,
};

export interface WantedOffersInput {
  contracts: readonly Contract[];
  /** Requests for the offer that are in progress or waiting, on average. */
  demand: (offer: ModelOffer) => number;
  /** Requests that one server runs at once. */
  serverCapacity: number;
}

/** Offers in order of priority, each once. */
export function wantedOffers(
  {contracts, demand, serverCapacity}: WantedOffersInput,
  options: Partial<WantedOffersOptions> = {},
): WantedOffer[] {
  const {minimumServers, targetUtilisation} = {
    ...defaultWantedOffersOptions,
    ...options,
  };
  const wanted = new Map<string, WantedOffer>();
  for (const contract of contracts) {
    for (const offer of allowedOffers(contract)) {
      const key = offerKey(offer);
      const priority = moreUrgent(wanted.get(key)?.priority, contract.priority);
      const needed = demand(offer) / (serverCapacity * targetUtilisation);
      const servers = Math.max(minimumServers, Math.ceil(needed));
      wanted.set(key, {...offer, servers, priority});
    }
  }
  return [...wanted.values()].sort(
    (a, b) => priorityRank(a.priority) - priorityRank(b.priority),
  );
}

export function offerKey({model, version, adapter}: ModelOffer): string {
  return JSON.stringify([model, version ?? null, adapter ?? null]);
}

function allowedOffers({models}: Contract): ModelOffer[] {
  return models.flatMap(({name, version, adapters}) => [
    {model: name, version},
    ...adapters.map(adapter => ({model: name, version, adapter})),
  ]);
}

function moreUrgent(a: Priority | undefined, b: Priority): Priority {
  return a !== undefined && priorityRank(a) <= priorityRank(b) ? a : b;
}
