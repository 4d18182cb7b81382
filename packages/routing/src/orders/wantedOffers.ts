/**
 * @fileoverview Derives which models the backend servers should have loaded,
 * and on how many servers, from contracts and demand.
 */
import {type Contract} from '@dogwoodtrestle/schema';

import {type Priority, priorityRank} from '../priority.js';

/** A model that can be loaded, optionally with a version and an adapter. */
export interface ModelOffer {
  model: string;
  version?: string;
  adapter?: string;
}

/** A model with the number of servers that should have it loaded. */
export interface WantedOffer extends ModelOffer {
  /** Number of servers that should have it loaded. */
  servers: number;
  /** Priority of the most urgent contract that allows the offer. */
  priority: Priority;
}

/** Options of the number of servers. */
export interface WantedOffersOptions {
  /** Minimum servers for an offer that a contract allows, at any demand. */
  minimumServers: number;
  /** Utilisation to plan for, as a share of a server's capacity. */
  targetUtilisation: number;
}

/** Default options. */
export const defaultWantedOffersOptions: WantedOffersOptions = {
  minimumServers: 2,
  targetUtilisation: 0.7,
};

/** Contracts and demand. */
export interface WantedOffersInput {
  contracts: readonly Contract[];
  /** Average number of running and queued requests for the offer. */
  demand: (offer: ModelOffer) => number;
  /** Concurrent requests of one server. */
  serverCapacity: number;
}

/** Returns the wanted offers without duplicates, the most urgent first. */
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

/** Returns a key that is equal for equal offers. */
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
