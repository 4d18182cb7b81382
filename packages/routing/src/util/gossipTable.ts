/**
 * @fileoverview Table of versioned records that is replicated between instances
 * by pull gossip.
 *
 * Each record has one writer, which numbers its versions: the incarnation
 * grows with each restart, the sequence with each renewal. Merging keeps the
 * newest version, so that all tables converge in any order of arrival. Records
 * are sent with their age, because clocks of different machines cannot be
 * compared. The receiver counts the age from a time before the sender computed
 * it, so ages may be overestimated but never underestimated.
 */
import {hashText} from './hash.js';

/** Fields that each record must have. */
export interface Versioned {
  name: string;
  incarnation: number;
  sequence: number;
  state: 'serving' | 'leaving';
}

/** Version of a record in a table. */
export interface Version {
  incarnation: number;
  sequence: number;
  leaving?: true;
}

/** Versions by record name. */
export type VersionVector = Record<string, Version>;

/**
 * One of `count` parts of all names, so that a large table can be compared in
 * several rounds.
 */
export interface DigestSlice {
  index: number;
  count: number;
}

/** Versions that a table holds; sent to a peer to ask for newer records. */
export interface Digest {
  versions: VersionVector;
  /** Names that the digest covers; all if it is missing. */
  slice?: DigestSlice;
}

/** A record as it is sent between instances. */
export interface AgedRecord<T> {
  record: T;
  ageMilliseconds: number;
}

/** A record as it is held in a table. */
export interface TableEntry<T> {
  record: T;
  /** Lower bound on the time of the version, in monotonic milliseconds. */
  observedAt: number;
}

/**
 * Effect of an observed record: `renewed` if only fields changed that change
 * with each renewal, `ignored` if it was not newer.
 */
export type Observation = 'added' | 'updated' | 'renewed' | 'ignored';

/** Expiry and comparison of records. */
export interface GossipTableOptions<T> {
  /** Age from which a record is removed and not accepted from peers. */
  expireAfterMilliseconds: number;
  /** Whether two versions differ in fields that a renewal does not change. */
  differs: (before: T, after: T) => boolean;
}

/** Newest versions of records by name. Times are monotonic milliseconds. */
export class GossipTable<T extends Versioned> {
  private readonly byName = new Map<string, TableEntry<T>>();

  constructor(private readonly options: GossipTableOptions<T>) {}

  /** Number of records. */
  get size(): number {
    return this.byName.size;
  }

  /** Returns the entry with the name. */
  get(name: string): TableEntry<T> | undefined {
    return this.byName.get(name);
  }

  /** Returns all entries in insertion order. */
  values(): IterableIterator<TableEntry<T>> {
    return this.byName.values();
  }

  /** Records a version if it is newer than the one held. */
  observe(record: T, observedAt: number): Observation {
    const known = this.byName.get(record.name);
    if (!known) {
      this.byName.set(record.name, {record, observedAt});
      return 'added';
    }
    if (record.incarnation < known.record.incarnation) return 'ignored';
    if (record.incarnation > known.record.incarnation) {
      this.byName.set(record.name, {record, observedAt});
      return 'updated';
    }
    return this.mergeSameIncarnation(known, record, observedAt);
  }

  /** Returns the versions held, to ask a peer for newer records. */
  digest(slice?: DigestSlice): Digest {
    const held = [...this.byName.values()]
      .filter(({record}) => isInSlice(record.name, slice))
      .map(({record}) => [record.name, versionOf(record)] as const);
    // Defines own properties, whatever the names are.
    const versions: VersionVector = Object.fromEntries(held);
    return slice ? {versions, slice} : {versions};
  }

  /** Returns records newer than the digest, those furthest behind first. */
  newerThan({versions, slice}: Digest, now: number): Array<AgedRecord<T>> {
    const newer: Array<AgedRecord<T> & {lag: number}> = [];
    for (const {record, observedAt} of this.byName.values()) {
      const ageMilliseconds = Math.max(0, Math.ceil(now - observedAt));
      if (ageMilliseconds >= this.options.expireAfterMilliseconds) continue;
      if (!isInSlice(record.name, slice)) continue;
      const lag = sequenceLag(
        versionIn(versions, record.name),
        versionOf(record),
      );
      if (lag > 0) newer.push({record, ageMilliseconds, lag});
    }
    return newer
      .sort((a, b) => b.lag - a.lag)
      .map(({record, ageMilliseconds}) => ({record, ageMilliseconds}));
  }

  /**
   * Merges a peer's reply to a digest; records past the expiry age are ignored.
   *
   * @param askedAt When this instance sent the digest. The peer computed the
   *     ages later than that.
   */
  merge(
    records: ReadonlyArray<AgedRecord<T>>,
    askedAt: number,
  ): Array<{record: T; observation: Observation}> {
    return records
      .filter(
        ({ageMilliseconds}) =>
          ageMilliseconds >= 0 &&
          ageMilliseconds < this.options.expireAfterMilliseconds,
      )
      .map(({record, ageMilliseconds}) => ({
        record,
        observation: this.observe(record, askedAt - ageMilliseconds),
      }));
  }

  /** Removes records past the expiry age; returns their names. */
  removeExpired(now: number): string[] {
    const expired: string[] = [];
    for (const [name, {observedAt}] of this.byName) {
      if (now - observedAt < this.options.expireAfterMilliseconds) continue;
      this.byName.delete(name);
      expired.push(name);
    }
    return expired;
  }

  private mergeSameIncarnation(
    known: TableEntry<T>,
    record: T,
    observedAt: number,
  ): Observation {
    const leaving =
      known.record.state === 'leaving' || record.state === 'leaving';
    const startsLeaving = leaving && known.record.state !== 'leaving';
    const isNewer = record.sequence > known.record.sequence;
    if (!isNewer && !startsLeaving) return 'ignored';
    const newest = isNewer ? record : known.record;
    const merged: T = leaving ? {...newest, state: 'leaving'} : newest;
    const changed = startsLeaving || this.options.differs(known.record, merged);
    this.byName.set(record.name, {
      record: merged,
      // Both are lower bounds, and the newer version was made later.
      observedAt: isNewer
        ? Math.max(known.observedAt, observedAt)
        : known.observedAt,
    });
    return changed ? 'updated' : 'renewed';
  }
}

function versionIn(vector: VersionVector, name: string): Version | undefined {
  return Object.hasOwn(vector, name) ? vector[name] : undefined;
}

function versionOf({incarnation, sequence, state}: Versioned): Version {
  return state === 'leaving'
    ? {incarnation, sequence, leaving: true}
    : {incarnation, sequence};
}

/** Returns the renewals missed; infinite if other changes were missed. */
function sequenceLag(known: Version | undefined, newest: Version): number {
  if (!known || newest.incarnation > known.incarnation) return Infinity;
  if (newest.incarnation < known.incarnation) return 0;
  if (newest.leaving && !known.leaving) return Infinity;
  return Math.max(0, newest.sequence - known.sequence);
}

function isInSlice(name: string, slice: DigestSlice | undefined): boolean {
  return !slice || hashText(name) % slice.count === slice.index;
}
