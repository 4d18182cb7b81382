/**
 * @fileoverview Brief digests for peers that hold the same records.
 *
 * Two instances usually know the same names and incarnations and differ only in
 * sequence numbers. A brief digest therefore contains the sequence numbers and
 * a hash of everything else.
 */
import {createHash} from 'node:crypto';

import {type Digest, type Version} from '@dogwoodtrestle/routing';
import {type BriefDigest} from '@dogwoodtrestle/schema';

const hashCharacters = 12;

/** Returns the brief form of a digest. */
export function briefDigestOf({versions}: Digest): BriefDigest {
  const sorted = sortedVersions(versions);
  return {
    hash: hashOf(sorted),
    sequences: sorted.map(([, {sequence}]) => sequence),
  };
}

/**
 * Restores a digest from its brief form.
 *
 * @param own Digest of this instance, which supplies names and incarnations.
 * @returns Undefined if the two digests cover different records.
 */
export function expandDigest(
  brief: BriefDigest,
  own: Digest,
): Digest | undefined {
  const sorted = sortedVersions(own.versions);
  const {hash, sequences} = brief;
  if (hash !== hashOf(sorted) || sequences.length !== sorted.length) {
    return undefined;
  }
  return {
    versions: Object.fromEntries(
      sorted.map(([name, version], position) => [
        name,
        {...version, sequence: sequences[position] ?? 0},
      ]),
    ),
  };
}

type NamedVersion = [string, Version];

function sortedVersions(versions: Digest['versions']): NamedVersion[] {
  return Object.entries(versions).sort(([a], [b]) => (a < b ? -1 : 1));
}

function hashOf(sorted: NamedVersion[]): string {
  const parts = sorted.map(([name, {incarnation, leaving}]) => [
    name,
    incarnation,
    leaving ?? false,
  ]);
  return createHash('sha256')
    .update(JSON.stringify(parts))
    .digest('base64')
    .slice(0, hashCharacters);
}
