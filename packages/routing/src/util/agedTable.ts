/**
 * @fileoverview Table of records that their owners renew, spread between
 * instances by pull gossip.
 *
 * Each record has one writer, which numbers its versions: the incarnation
 * grows with each restart, the sequence with each renewal. Merging keeps the
 * newest version, so that all tables converge whatever the order of arrival.
 * Records travel with their age, because clocks of two machines can't be
 * compared; the receiver counts the age from a moment before the sender
 * computed it, so an age may be overestimated but never underestimated.
 */
import {hashText} from './hash.js';

/** What a record must tell of itself. */
export interface Versioned {
  name: string;
  incarnation: number;
  sequence: number;
  state: 'serving' | 'leaving';
}

/** Newest version that a table holds of one record. */
export interface Version {
  incarnation: number;
  sequence: number;
  leaving?: true;
}

export type VersionVector = Record<string, Version>;

/** One of `count` parts of all names, so that a large table goes in rounds. */
export interface DigestSlice {
  index: number;
  count: number;
}

/** What a table holds; sent to a peer to ask for what is newer. */
export interface Digest {
  versions: VersionVector;
  /** The names that the digest covers; all where it is left out. */
  slice?: DigestSlice;
}

/** A record as it travels between instances. */
export interface AgedRecord<T> {
  record: T;
  ageMilliseconds: number;
}

export interface TableEntry<T> {
  record: T;
  /** Monotonic milliseconds; a lower bound of when the version was made. */
  observedAt: number;
}

/** What became of a record that was taken in. */
export type MergeResult = 'added' | 'updated' | 'renewed' | 'ignored';

export interface GossipTableOptions<T> {
  /** Age at which a record is dropped and no longer taken from others. */
  expireAfterMilliseconds: number;
  /** Whether two versions differ in more than what each renewal changes. */
  differs: (before: T, after: T) => boolean;
}

export class GossipTable<T extends Versioned> {
  private readonly byName = new Map<string, TableEntry<T>>();

  constructor(private readonly options: GossipTableOptions<T>) {}

  get size(): number {
    return this.byName.size;
  }

  get(name: string): TableEntry<T> | undefined {
    return this.byName.get(name);
  }

  values(): IterableIterator<TableEntry<T>> {
    return this.byName.values();
  }

  observe(record: T, observedAt: number): MergeResult {
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
    return this.observeSameIncarnation(known, record, observedAt);
  }

  /** Versions held, to be sent to a peer that is asked for what is newer. */
  digest(slice?: DigestSlice): Digest {
    const versions: VersionVector = {};
    for (const {record} of this.byName.values()) {
      if (!isInSlice(record.name, slice)) continue;
      versions[record.name] = versionOf(record);
    }
    return slice ? {versions, slice} : {versions};
  }

  /** Records that the sender of the digest lacks, the most overdue first. */
  newerThan({versions, slice}: Digest, now: number): Array<AgedRecord<T>> {
    const newer: Array<AgedRecord<T> & {lag: number}> = [];
    for (const {record, observedAt} of this.byName.values()) {
      const ageMilliseconds = Math.max(0, Math.ceil(now - observedAt));
      if (ageMilliseconds >= this.options.expireAfterMilliseconds) continue;
      if (!isInSlice(record.name, slice)) continue;
      const lag = lagOf(ownVersion(versions, record.name), versionOf(record));
      if (lag > 0) newer.push({record, ageMilliseconds, lag});
    }
    return newer
      .sort((a, b) => b.lag - a.lag)
      .map(({record, ageMilliseconds}) => ({record, ageMilliseconds}));
  }

  /**
   * Takes in what a peer answered.
   *
   * @param askedAt When this instance sent the digest that was answered. The
   *     peer computed the ages later than that.
   */
  merge(
    records: ReadonlyArray<AgedRecord<T>>,
    askedAt: number,
  ): Array<{record: T; mergeResult: MergeResult}> {
    return records
      .filter(
        ({ageMilliseconds}) =>
          ageMilliseconds >= 0 &&
          ageMilliseconds < this.options.expireAfterMilliseconds,
      )
      .map(({record, ageMilliseconds}) => ({
        record,
        mergeResult: this.observe(record, askedAt - ageMilliseconds),
      }));
  }

  /** Drops records that have been silent for too long; returns their names. */
  removeExpired(now: number): string[] {
    const forgotten: string[] = [];
    for (const [name, {observedAt}] of this.byName) {
      if (now - observedAt < this.options.expireAfterMilliseconds) continue;
      this.byName.delete(name);
      forgotten.push(name);
    }
    return forgotten;
  }

  private observeSameIncarnation(
    known: TableEntry<T>,
    record: T,
    observedAt: number,
  ): MergeResult {
    const leaving =
      known.record.state === 'leaving' || record.state === 'leaving';
    const startsLeaving = leaving && known.record.state !== 'leaving';
    const isNext = record.sequence > known.record.sequence;
    if (!isNext && !startsLeaving) return 'ignored';
    const newest = isNext ? record : known.record;
    const merged: T = leaving ? {...newest, state: 'leaving'} : newest;
    const changed = startsLeaving || this.options.differs(known.record, merged);
    this.byName.set(record.name, {
      record: merged,
      // Both are lower bounds, and a later version was made later.
      observedAt: isNext
        ? Math.max(known.observedAt, observedAt)
        : known.observedAt,
    });
    return changed ? 'updated' : 'renewed';
  }
}

function ownVersion(vector: VersionVector, name: string): Version | undefined {
  return Object.hasOwn(vector, name) ? vector[name] : undefined;
}

function versionOf({incarnation, sequence, state}: Versioned): Version {
  return state === 'leaving'
    ? {incarnation, sequence, leaving: true}
    : {incarnation, sequence};
}

/** Versions behind; infinite where more than renewals were missed. */
function lagOf(known: Version | undefined, newest: Version): number {
  if (!known || newest.incarnation > known.incarnation) return Infinity;
  if (newest.incarnation < known.incarnation) return 0;
  if (newest.leaving && !known.leaving) return Infinity;
  return Math.max(0, newest.sequence - known.sequence);
}

function isInSlice(name: string, slice: DigestSlice | undefined): boolean {
  return !slice || hashText(name) % slice.count === slice.index;
}
