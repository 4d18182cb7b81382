/** @fileoverview Size limit of gossip messages. */

/**
 * Returns the longest prefix of the records whose JSON, with one separator byte
 * each, fits into `maximumBytes`.
 */
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
