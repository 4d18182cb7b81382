/**
 * @fileoverview Collects the bytes of a body in segments.
 *
 * A piece as it is read costs much more than its bytes if it is small, as each is an
 * object that keeps the memory of the whole read. A single buffer that grows leaves
 * half of its memory to the garbage collector. Here pieces are copied into segments
 * that are filled one after another.
 */

/** Size of the largest segment, but for a piece that is larger; in bytes. */
const maxSegmentBytes = 64 * 1024;

/** Size of the second segment at least; the first is as long as its piece. */
const minSegmentBytes = 1024;

const noBytes = Buffer.alloc(0);

/** Bytes in order of their arrival. */
export class SegmentedBytes {
  private segments: Buffer[] = [];
  private last: Buffer = noBytes;
  private usedOfLast = 0;
  private allocated = 0;
  private count = 0;

  /** Number of bytes. */
  get length(): number {
    return this.count;
  }

  /** Memory of the segments, in bytes. */
  get capacity(): number {
    return this.allocated;
  }

  /** Appends a piece. */
  append(piece: Buffer): void {
    const copied = piece.copy(this.last, this.usedOfLast);
    this.usedOfLast += copied;
    this.count += piece.length;
    const rest = piece.length - copied;
    if (rest === 0) return;
    this.addSegment(rest);
    piece.copy(this.last, 0, copied);
    this.usedOfLast = rest;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const {segments, count} = this;
    const [first = noBytes] = segments;
    this.clear();
    return segments.length > 1
      ? Buffer.concat(segments, count)
      : first.subarray(0, count);
  }

  /** Removes all bytes. */
  clear(): void {
    this.segments = [];
    this.last = noBytes;
    this.usedOfLast = this.allocated = this.count = 0;
  }

  private addSegment(least: number): void {
    const grown = Math.min(
      Math.max(this.allocated, minSegmentBytes),
      maxSegmentBytes,
    );
    const isFirst = this.segments.length === 0;
    this.last = Buffer.allocUnsafe(isFirst ? least : Math.max(least, grown));
    this.segments.push(this.last);
    this.allocated += this.last.length;
  }
}
