/** @fileoverview Differences between two JSON values. */

/** Returns the JSON pointers of the innermost parts that differ. */
export function jsonDifferences(
  first: unknown,
  second: unknown,
  path = '',
): string[] {
  if (first === second) return [];
  if (!isContainer(first) || !isContainer(second)) return [path];
  if (Array.isArray(first) !== Array.isArray(second)) return [path];
  const keys = new Set([...Object.keys(first), ...Object.keys(second)]);
  return [...keys].flatMap(key =>
    jsonDifferences(first[key], second[key], `${path}/${escapePointer(key)}`),
  );
}

function isContainer(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object';
}

function escapePointer(part: string): string {
  return part.replaceAll('~', '~0').replaceAll('/', '~1');
}
