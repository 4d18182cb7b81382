/**
 * @fileoverview Collects bytes that arrive in pieces.
 *
 * A list of pieces costs much more than their bytes if they are small, as each is
 * an object that keeps the memory of the whole read. Here they are copied into one
 * buffer that grows, and its size counts to a limit that accumulators share.
 */

/** Size of a buffer at first, in bytes; doubled as it grows. */
const minCapacityBytes = 1024;

const noBytes = Buffer.alloc(0);

/** A limit for the memory of several accumulators, in bytes. */
export class ByteBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes that are reserved. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /** Whether more bytes are reserved than there should be. */
  get isExceeded(): boolean {
    return this.reserved > this.maxBytes;
  }

  /** Reserves bytes. */
  add(bytes: number): void {
    this.reserved += bytes;
  }
}

/** Bytes in order of their arrival. */
export class ByteAccumulator {
  private buffer: Buffer = noBytes;
  private used = 0;

  constructor(private readonly budget?: ByteBudget) {}

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** The bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.used);
  }

  /** Appends a piece. */
  append(piece: Buffer): void {
    const length = this.used + piece.length;
    if (length > this.buffer.length) {
      this.resize(Math.max(minCapacityBytes, length, this.buffer.length * 2));
    }
    piece.copy(this.buffer, this.used);
    this.used = length;
  }

  /** Removes bytes from the start. */
  consume(count: number): void {
    this.buffer.copyWithin(0, count, this.used);
    this.used -= count;
    if (this.used === 0 && this.buffer.length > minCapacityBytes) this.clear();
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.used);
    this.replace(noBytes);
    this.used = 0;
    return bytes;
  }

  /** Removes all bytes. */
  clear(): void {
    this.take();
  }

  private resize(capacity: number): void {
    const larger = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(larger, 0, 0, this.used);
    this.replace(larger);
  }

  private replace(buffer: Buffer): void {
    this.budget?.add(buffer.length - this.buffer.length);
    this.buffer = buffer;
  }
}
