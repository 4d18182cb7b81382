/**
 * @fileoverview Digests of used keys whose records have been removed.
 *
 * A caller's key contains no time, so a used key can only be recognized if it
 * is stored. A 64-bit digest of each forgotten key is added to the set of the
 * current period, and a whole set is removed once its period is past the
 * retention. A key takes 11 to 21 bytes. A key that is sent again after its
 * set was removed counts as new. A new key is mistaken for a used one with a
 * probability of the number of digests divided by 2^64.
 */
import {keyDigest} from './util/digest.js';
import {DigestSet} from './util/digestSet.js';

/** Number of periods that the retention is divided into. */
const periodsPerRetention = 8;

/** Forgotten keys as a JSON value; digests are encoded as base64. */
export interface ForgottenKeysSnapshot {
  periods: Array<{start: number; digests: string}>;
}

/** Set of used keys that are removed after a retention time. */
export class ForgottenKeys {
  private periods: Array<{start: number; digests: DigestSet}> = [];
  private readonly periodMilliseconds: number;

  constructor(private readonly retentionMilliseconds: number) {
    this.periodMilliseconds = Math.max(
      1,
      Math.ceil(retentionMilliseconds / periodsPerRetention),
    );
  }

  /** Number of keys. */
  get size(): number {
    return this.periods.reduce((sum, {digests}) => sum + digests.size, 0);
  }

  /** Memory used by the digests. */
  get bytes(): number {
    return this.periods.reduce((sum, {digests}) => sum + digests.bytes, 0);
  }

  /** Adds a key whose record was removed at the given ledger time. */
  add(key: string, now: number): void {
    const start = now - (now % this.periodMilliseconds);
    let period = this.periods.at(-1);
    if (period === undefined || period.start !== start) {
      period = {start, digests: new DigestSet()};
      this.periods.push(period);
    }
    period.digests.add(keyDigest(key));
  }

  has(key: string): boolean {
    if (this.periods.length === 0) return false;
    const digest = keyDigest(key);
    return this.periods.some(({digests}) => digests.has(digest));
  }

  /** Removes the periods that are past the retention. */
  expire(now: number): void {
    const oldestStart =
      now - this.retentionMilliseconds - this.periodMilliseconds;
    while (
      this.periods[0] !== undefined &&
      this.periods[0].start < oldestStart
    ) {
      this.periods.shift();
    }
  }

  snapshot(): ForgottenKeysSnapshot {
    return {
      periods: this.periods.map(({start, digests}) => ({
        start,
        digests: digests.serialize(),
      })),
    };
  }

  restore(snapshot: ForgottenKeysSnapshot): void {
    this.periods = snapshot.periods.map(({start, digests}) => ({
      start,
      digests: DigestSet.deserialize(digests),
    }));
  }
}
