/**
 * @fileoverview Tables by names that come from outside, such as those of
 * workspaces.
 *
 * They inherit nothing, so a name such as `constructor` or `__proto__` is a key
 * like others. They stay plain objects, as they are written to snapshots as JSON.
 */

/** Creates a table with the entries of another object. */
export function createNameTable<T>(
  entries: Readonly<Record<string, T>> = {},
): Record<string, T> {
  const empty = Object.create(null) as Record<string, T>;
  return Object.assign(empty, entries);
}
