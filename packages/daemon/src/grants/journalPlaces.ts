/**
 * @fileoverview Journals on the own disk, and on another instance's disk.
 */
import {type JournalEntry} from '@dogwoodtrestle/schema';

import {type InstanceCalls} from '../peer/instanceCalls.js';
import {type JournalPlace} from './journal.js';
import {type JournalStore} from './journalStore.js';

/** Returns the place of journals on this instance's disk. */
export function localPlace(
  instance: string,
  store: JournalStore,
): JournalPlace {
  return {
    instance,
    append: (grantId, entries) => store.append(grantId, entries),
    remove: grantId => store.remove(grantId),
  };
}

/** Returns the place of journals on another instance's disk. */
export function remotePlace(
  instance: string,
  address: string,
  calls: Pick<InstanceCalls, 'appendJournal' | 'removeJournal'>,
): JournalPlace {
  return {
    instance,
    append: (grantId: string, entries: JournalEntry[]) =>
      calls.appendJournal(address, {grantId, entries}),
    remove: grantId => calls.removeJournal(address, {grantId}),
  };
}
