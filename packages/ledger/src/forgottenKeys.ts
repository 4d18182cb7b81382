/**
 * @fileoverview Keys that are no longer kept, but known to have been used.
 *
 * A caller's key carries no time, so whether it is old can only be told by
 * remembering it. Each forgotten key leaves a 64-bit digest in a set per
 * period, and whole sets are dropped once their period is past the retention:
 * 11 to 21 bytes per key. A key that is repeated after the set was dropped
 * counts as new. A fresh key is wrongly taken for an old one with a
 * probability of the number of digests divided by 2^64.
 */
import {keyDigest} from './util/digest.js';
import {DigestSet} from './util/digestSet.js';

/** Number of periods that the retention is divided into. */
const periodsPerRetention = 8;

/** JSON form of the forgotten keys. */
export interface ForgottenKeysSnapshot {
  periods: Array<{start: number; digests: string}>;
}

/** Set of used keys with a bounded age. */
export class ForgottenKeys {
  private periods: Array<{start: number; digests: DigestSet}> = [];
  private readonly periodMilliseconds: number;

  constructor(private readonly retentionMilliseconds: number) {
    this.periodMilliseconds = Math.max(
      1,
      Math.ceil(retentionMilliseconds / periodsPerRetention),
    );
  }

  get size(): number {
    return this.periods.reduce((sum, {digests}) => sum + digests.size, 0);
  }

  get bytes(): number {
    return this.periods.reduce((sum, {digests}) => sum + digests.bytes, 0);
  }

  /** Remembers a key that is forgotten at the given ledger time. */
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

  /** Drops the periods that ended before the retention. */
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
