/**
 * @fileoverview What an instance knows of the backend servers, from their own
 * announcements and from other instances.
 *
 * There is no list of backend servers: whoever announces itself is known, and
 * whoever falls silent gets no new work.
 */
import {type Announcement} from '@dogwoodtrestle/schema';

import {
  type AgedRecord,
  GossipTable,
  type Digest,
  type DigestSlice,
  type MergeResult,
  type TableEntry,
} from './util/agedTable.js';

export interface BackendEntry {
  announcement: Announcement;
  /**
   * Monotonic milliseconds: when the server made the announcement at the
   * earliest, its age already subtracted.
   */
  observedAt: number;
}

export interface BackendStatus {
  entry: BackendEntry;
  state: 'serving' | 'leaving' | 'silent';
  ageMilliseconds: number;
}

/** What a request needs of a backend server. */
export type Target =
  | {kind: 'model'; name: string; adapter?: string; version?: string}
  | {kind: 'service'; name: string};

export interface BackendDirectoryOptions {
  /** Age of the newest announcement at which a server gets no new work. */
  silentAfterMilliseconds: number;
  /** Age at which a server is dropped from the directory. */
  expireAfterMilliseconds: number;
}

export const defaultBackendDirectoryOptions: BackendDirectoryOptions = {
  silentAfterMilliseconds: 3_000,
  expireAfterMilliseconds: 60_000,
};

type TargetTests = {
  [K in Target['kind']]: (
    announcement: Announcement,
    target: Extract<Target, {kind: K}>,
  ) => boolean;
};

const targetTests: TargetTests = {
  model: ({models}, {name, adapter, version}) =>
    models.some(
      offered =>
        offered.name === name &&
        (adapter === undefined || offered.adapters.includes(adapter)) &&
        (version === undefined || offered.version === version),
    ),
  service: ({service}, {name}) => service?.name === name,
};

export class BackendDirectory {
  private readonly options: BackendDirectoryOptions;
  private readonly table: GossipTable<Announcement>;
  /** Servers by target, whatever their state; cleared when an offer changes. */
  private readonly namesByTarget = new Map<string, string[]>();

  constructor(options: Partial<BackendDirectoryOptions> = {}) {
    this.options = {...defaultBackendDirectoryOptions, ...options};
    this.table = new GossipTable({
      expireAfterMilliseconds: this.options.expireAfterMilliseconds,
      differs: offerDiffers,
    });
  }

  /**
   * Takes in an announcement. An older incarnation or sequence is ignored, a
   * higher incarnation replaces the entry, and `leaving` holds for the rest of
   * an incarnation.
   *
   * @param observedAt Monotonic milliseconds, the age subtracted.
   */
  observe(announcement: Announcement, observedAt: number): MergeResult {
    const observation = this.table.observe(announcement, observedAt);
    this.invalidate(observation);
    return observation;
  }

  get(name: string): BackendEntry | undefined {
    const entry = this.table.get(name);
    return entry && toBackendEntry(entry);
  }

  entries(now: number): BackendStatus[] {
    return [...this.table.values()].map(entry => ({
      entry: toBackendEntry(entry),
      state: this.stateOf(entry, now),
      ageMilliseconds: Math.max(0, now - entry.observedAt),
    }));
  }

  /** Servers that offer the target, are serving and aren't silent. */
  candidates(target: Target, now: number): BackendEntry[] {
    const candidates: BackendEntry[] = [];
    for (const name of this.namesFor(target)) {
      const entry = this.table.get(name);
      if (entry && this.stateOf(entry, now) === 'serving') {
        candidates.push(toBackendEntry(entry));
      }
    }
    return candidates;
  }

  /** Versions held; sent to a peer to ask for what is newer. */
  digest(slice?: DigestSlice): Digest {
    return this.table.digest(slice);
  }

  /** Announcements that the sender of the digest lacks, with their ages. */
  newerThan(digest: Digest, now: number): Array<AgedRecord<Announcement>> {
    return this.table.newerThan(digest, now);
  }

  /**
   * Takes in a peer's answer to a digest.
   *
   * @param askedAt When this instance sent the digest, so that the time on the
   *     way counts as age.
   */
  merge(
    records: ReadonlyArray<AgedRecord<Announcement>>,
    askedAt: number,
  ): Array<{record: Announcement; mergeResult: MergeResult}> {
    const merged = this.table.merge(records, askedAt);
    for (const {mergeResult} of merged) this.invalidate(mergeResult);
    return merged;
  }

  /** Drops servers that have long been silent; returns their names. */
  removeExpired(now: number): string[] {
    const forgotten = this.table.removeExpired(now);
    if (forgotten.length > 0) this.namesByTarget.clear();
    return forgotten;
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

  private namesFor(target: Target): string[] {
    const key = JSON.stringify(
      target.kind === 'model'
        ? [target.kind, target.name, target.adapter, target.version]
        : [target.kind, target.name],
    );
    const known = this.namesByTarget.get(key);
    if (known) return known;
    const names = this.findNames(target);
    // A target that nobody offers is a caller's typing error; don't keep it.
    if (names.length > 0) this.namesByTarget.set(key, names);
    return names;
  }

  private findNames(target: Target): string[] {
    const names: string[] = [];
    for (const {record} of this.table.values()) {
      if (offers(record, target)) names.push(record.name);
    }
    return names;
  }

  private invalidate(observation: MergeResult): void {
    if (observation === 'added' || observation === 'updated') {
      this.namesByTarget.clear();
    }
  }
}

function toBackendEntry(entry: TableEntry<Announcement>): BackendEntry {
  return {announcement: entry.record, observedAt: entry.observedAt};
}

function offers(announcement: Announcement, target: Target): boolean {
  if (announcement.kind !== target.kind) return false;
  const test = targetTests[target.kind] as (
    announcement: Announcement,
    target: Target,
  ) => boolean;
  return test(announcement, target);
}

/** Load and cache change with each announcement; the rest is the offer. */
function offerDiffers(before: Announcement, after: Announcement): boolean {
  return offerOf(before) !== offerOf(after);
}

function offerOf(announcement: Announcement): string {
  return JSON.stringify({
    ...announcement,
    sequence: undefined,
    load: announcement.load.capacity,
    cache: undefined,
  });
}
