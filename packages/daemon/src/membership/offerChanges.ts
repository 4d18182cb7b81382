/**
 * @fileoverview Remembers at which version of a record more than its renewal
 * changed, so that renewals alone can be sent to peers that hold the rest.
 */
import {type Observation} from '@dogwoodtrestle/routing';

/** Version of a record. */
interface Versioned {
  name: string;
  incarnation: number;
  sequence: number;
}

interface Change {
  incarnation: number;
  sequence: number;
}

/** Newest change of each record by name. */
export class OfferChanges {
  private readonly newest = new Map<string, Change>();

  /** Takes in what became of a record. */
  note(
    {name, incarnation, sequence}: Versioned,
    observation: Observation,
  ): void {
    if (observation === 'added' || observation === 'updated') {
      this.newest.set(name, {incarnation, sequence});
    }
  }

  forget(names: string[]): void {
    for (const name of names) this.newest.delete(name);
  }

  /** Whether a peer's version of a record lacks nothing but renewals. */
  holdsOffer(
    {name, incarnation}: Versioned,
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
