/**
 * @fileoverview Directory of backend servers, built from their announcements
 * to this instance and from gossip with other instances.
 *
 * Backend servers are not configured: a server is added when it announces
 * itself, and gets no new work once its announcements stop.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

import {
  type AgedRecord,
  GossipTable,
  type Digest,
  type DigestSlice,
  type Observation,
  type TableEntry,
} from './util/gossipTable.js';

/** Newest known announcement of a backend server. */
export interface BackendEntry {
  announcement: Announcement;
  /**
   * Earliest time at which the server can have made the announcement, in
   * monotonic milliseconds of this instance.
   */
  observedAt: number;
}

/** A backend server with its state at the time of the query. */
export interface BackendStatus {
  entry: BackendEntry;
  /** `silent` if the newest announcement is too old. */
  state: 'serving' | 'leaving' | 'silent';
  /** Age of the newest announcement. */
  ageMilliseconds: number;
}

/** Model or service that a request needs from a backend server. */
export type Target =
  | {kind: 'model'; name: string; adapter?: string; version?: string}
  | {kind: 'service'; name: string};

/** Age limits of announcements. */
export interface BackendDirectoryOptions {
  /** Age of the newest announcement from which a server gets no new work. */
  silentAfterMilliseconds: number;
  /** Age of the newest announcement from which a server is removed. */
  expireAfterMilliseconds: number;
}

/** Default age limits. */
export const defaultBackendDirectoryOptions: BackendDirectoryOptions = {
  silentAfterMilliseconds: 3_000,
  expireAfterMilliseconds: 60_000,
};

type TargetMatchers = {
  [K in Target['kind']]: (
    announcement: Announcement,
    target: Extract<Target, {kind: K}>,
  ) => boolean;
};

const targetMatchers: TargetMatchers = {
  model: ({models}, {name, adapter, version}) =>
    models.some(
      offered =>
        offered.name === name &&
        (adapter === undefined || offered.adapters.includes(adapter)) &&
        (version === undefined || offered.version === version),
    ),
  service: ({service}, {name}) => service?.name === name,
};

/** Backend servers that this instance knows, by name. */
export class BackendDirectory {
  private readonly options: BackendDirectoryOptions;
  private readonly table: GossipTable<Announcement>;
  /**
   * Cache: names of servers by target, in any state. Cleared when the set of
   * servers or the offer of one changes.
   */
  private readonly namesByTarget = new Map<string, string[]>();

  constructor(options: Partial<BackendDirectoryOptions> = {}) {
    this.options = {...defaultBackendDirectoryOptions, ...options};
    this.table = new GossipTable({
      expireAfterMilliseconds: this.options.expireAfterMilliseconds,
      differs: hasOfferChanged,
    });
  }

  /**
   * Records an announcement. An older incarnation or sequence is ignored, a
   * higher incarnation replaces the entry, and the state `leaving` is kept for
   * the rest of an incarnation.
   *
   * @param observedAt Arrival time less the age of the announcement, in
   *     monotonic milliseconds.
   */
  observe(announcement: Announcement, observedAt: number): Observation {
    const observation = this.table.observe(announcement, observedAt);
    this.updateTargetCache(observation);
    return observation;
  }

  /** Returns the entry of the named server, in any state. */
  get(name: string): BackendEntry | undefined {
    const entry = this.table.get(name);
    return entry && toBackendEntry(entry);
  }

  /** Returns all known servers with their states. */
  entries(now: number): BackendStatus[] {
    return [...this.table.values()].map(entry => ({
      entry: toBackendEntry(entry),
      state: this.stateOf(entry, now),
      ageMilliseconds: Math.max(0, now - entry.observedAt),
    }));
  }

  /** Returns the servers that offer the target and are in state `serving`. */
  candidates(target: Target, now: number): BackendEntry[] {
    const candidates: BackendEntry[] = [];
    for (const name of this.namesOffering(target)) {
      const entry = this.table.get(name);
      if (entry && this.stateOf(entry, now) === 'serving') {
        candidates.push(toBackendEntry(entry));
      }
    }
    return candidates;
  }

  /** Returns the versions held, to ask a peer for newer announcements. */
  digest(slice?: DigestSlice): Digest {
    return this.table.digest(slice);
  }

  /** Returns announcements newer than the digest, with their ages. */
  newerThan(digest: Digest, now: number): Array<AgedRecord<Announcement>> {
    return this.table.newerThan(digest, now);
  }

  /**
   * Merges a peer's reply to a digest.
   *
   * @param askedAt When this instance sent the digest, in monotonic
   *     milliseconds. Ages count from then, so that they include the network
   *     delay.
   */
  merge(
    records: ReadonlyArray<AgedRecord<Announcement>>,
    askedAt: number,
  ): Array<{record: Announcement; observation: Observation}> {
    const merged = this.table.merge(records, askedAt);
    for (const {observation} of merged) this.updateTargetCache(observation);
    return merged;
  }

  /** Removes servers past the expiry age; returns their names. */
  removeExpired(now: number): string[] {
    const expired = this.table.removeExpired(now);
    if (expired.length > 0) this.namesByTarget.clear();
    return expired;
  }

  private stateOf(
    {record, observedAt}: TableEntry<Announcement>,
    now: number,
  ): BackendStatus['state'] {
    if (now - observedAt >= this.options.silentAfterMilliseconds) {
      return 'silent';
    }
    return record.state;
  }

  private namesOffering(target: Target): string[] {
    const key = JSON.stringify(
      target.kind === 'model'
        ? [target.kind, target.name, target.adapter, target.version]
        : [target.kind, target.name],
    );
    const known = this.namesByTarget.get(key);
    if (known) return known;
    const names = this.findNames(target);
    // Targets that no server offers come from bad requests; caching them would
    // let callers grow the map without bound.
    if (names.length > 0) this.namesByTarget.set(key, names);
    return names;
  }

  private findNames(target: Target): string[] {
    const names: string[] = [];
    for (const {record} of this.table.values()) {
      if (offersTarget(record, target)) names.push(record.name);
    }
    return names;
  }

  private updateTargetCache(observation: Observation): void {
    if (observation === 'added' || observation === 'updated') {
      this.namesByTarget.clear();
    }
  }
}

function toBackendEntry(entry: TableEntry<Announcement>): BackendEntry {
  return {announcement: entry.record, observedAt: entry.observedAt};
}

function offersTarget(announcement: Announcement, target: Target): boolean {
  if (announcement.kind !== target.kind) return false;
  const matches = targetMatchers[target.kind] as (
    announcement: Announcement,
    target: Target,
  ) => boolean;
  return matches(announcement, target);
}

/** Compares announcements without the fields that change each time. */
function hasOfferChanged(before: Announcement, after: Announcement): boolean {
  return serializedOfferOf(before) !== serializedOfferOf(after);
}

function serializedOfferOf(announcement: Announcement): string {
  return JSON.stringify({
    ...announcement,
    sequence: undefined,
    load: announcement.load.capacity,
    cache: undefined,
  });
}
