/**
 * @fileoverview Location to which a holder writes the journals of grants.
 */
import {type JournalEntry} from '@dogwoodtrestle/schema';

/** Journals on the disk of this instance or of another one. */
export interface JournalLocation {
  /** Name of the instance whose disk stores the journals. */
  readonly instance: string;
  /** Resolves once the entries are durable; a header creates the journal. */
  append: (grantId: string, entries: JournalEntry[]) => Promise<void>;
  /** Removes the journal of a grant whose return is committed. */
  remove: (grantId: string) => Promise<void>;
}
