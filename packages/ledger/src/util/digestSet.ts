/**
 * @fileoverview Compact set of 64-bit digests.
 *
 * A hash table with open addressing in a typed array. A slot takes 8 bytes
 * and the load factor is between 3/8 and 3/4, so a key takes 11 to 21 bytes.
 */

interface Digest {
  high: number;
  low: number;
}

const initialSlots = 64;
const maxLoadFactor = 0.75;

/** Set of 64-bit digests. */
export class DigestSet {
  private words = new Uint32Array(initialSlots * 2);
  private count = 0;

  get size(): number {
    return this.count;
  }

  get bytes(): number {
    return this.words.byteLength;
  }

  has(digest: Digest): boolean {
    const {high, low} = avoidZero(digest);
    return this.words[this.findSlot(high, low)] === high;
  }

  add(digest: Digest): void {
    const {high, low} = avoidZero(digest);
    if (this.insert(high, low)) this.grow();
  }

  /** Returns the digests as base64, 8 bytes each, in the order of the table. */
  serialize(): string {
    const used = new Uint32Array(this.count * 2);
    let position = 0;
    for (let slot = 0; slot < this.words.length; slot += 2) {
      const high = this.words[slot] ?? 0;
      if (high === 0) continue;
      used[position++] = high;
      used[position++] = this.words[slot + 1] ?? 0;
    }
    return Buffer.from(used.buffer).toString('base64');
  }

  static deserialize(text: string): DigestSet {
    const bytes = Buffer.from(text, 'base64');
    const set = new DigestSet();
    for (let offset = 0; offset < bytes.length; offset += 8) {
      set.add({
        high: bytes.readUInt32LE(offset),
        low: bytes.readUInt32LE(offset + 4),
      });
    }
    return set;
  }

  /** Inserts a digest; returns whether the table must grow. */
  private insert(high: number, low: number): boolean {
    const slot = this.findSlot(high, low);
    if (this.words[slot] === high) return false;
    this.words[slot] = high;
    this.words[slot + 1] = low;
    this.count++;
    return this.count * 2 > this.words.length * maxLoadFactor;
  }

  private grow(): void {
    const old = this.words;
    this.words = new Uint32Array(old.length * 2);
    this.count = 0;
    for (let slot = 0; slot < old.length; slot += 2) {
      const high = old[slot] ?? 0;
      if (high !== 0) this.insert(high, old[slot + 1] ?? 0);
    }
  }

  /** Returns the index of the digest's slot, or of the free slot for it. */
  private findSlot(high: number, low: number): number {
    const mask = this.words.length - 1;
    let slot = (low * 2) & mask;
    for (;;) {
      const found = this.words[slot];
      if (found === 0) return slot;
      if (found === high && this.words[slot + 1] === low) return slot;
      slot = (slot + 2) & mask;
    }
  }
}

/** Replaces a high part of 0, which marks empty slots. */
function avoidZero({high, low}: Digest): Digest {
  return {high: high === 0 ? 1 : high, low};
}
