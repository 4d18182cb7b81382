/**
 * @fileoverview Tracks the version at which the contents of each record last
 * changed, apart from the fields that every renewal changes. Peers that already
 * have these contents are sent only a renewal.
 */
import {type Observation} from '@dogwoodtrestle/routing';

/** Name and version of a record. */
interface RecordVersion {
  name: string;
  incarnation: number;
  sequence: number;
}

interface ChangeVersion {
  incarnation: number;
  sequence: number;
}

/** Versions of the newest changes by record name. */
export class RecordChanges {
  private readonly newest = new Map<string, ChangeVersion>();

  /** Stores the version of a record if an observation added or updated it. */
  record(
    {name, incarnation, sequence}: RecordVersion,
    observation: Observation,
  ): void {
    if (observation === 'added' || observation === 'updated') {
      this.newest.set(name, {incarnation, sequence});
    }
  }

  /** Removes records by their names. */
  remove(names: string[]): void {
    for (const name of names) this.newest.delete(name);
  }

  /** Whether the version that a peer holds differs by renewals only. */
  hasCurrentContents(
    {name, incarnation}: RecordVersion,
    held: {incarnation: number; sequence: number} | undefined,
  ): boolean {
    const change = this.newest.get(name);
    return (
      held !== undefined &&
      change !== undefined &&
      held.incarnation === incarnation &&
      change.incarnation === incarnation &&
      held.sequence >= change.sequence
    );
  }
}
