/** @fileoverview Bound on the size of a gossip message. */

/** The first records whose JSON fits into the bytes. */
export function truncateToBytes<T>(
  records: readonly T[],
  maximumBytes: number,
): T[] {
  let bytes = 0;
  const kept: T[] = [];
  for (const record of records) {
    bytes += Buffer.byteLength(JSON.stringify(record)) + 1;
    if (bytes > maximumBytes) break;
    kept.push(record);
  }
  return kept;
}
