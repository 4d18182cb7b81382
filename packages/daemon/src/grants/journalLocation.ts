/**
 * @fileoverview Where a holder writes the journal of one grant.
 */
import {type JournalEntry} from '@dogwoodtrestle/schema';

/** Place of journals: this instance's disk or another instance's. */
export interface JournalLocation {
  /** Instance whose disk holds the journals. */
  readonly instance: string;
  /** Resolves once the entries are durable; a header makes the journal. */
  append: (grantId: string, entries: JournalEntry[]) => Promise<void>;
  /** Drops a journal whose final account is committed. */
  remove: (grantId: string) => Promise<void>;
}
