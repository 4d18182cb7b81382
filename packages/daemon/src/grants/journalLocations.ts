/**
 * @fileoverview Journal locations on the local disk and on other instances.
 */
import {type JournalEntry} from '@dogwoodtrestle/schema';

import {type InstanceCalls} from '../peer/instanceCalls.js';
import {type JournalLocation} from './journalLocation.js';
import {type JournalStore} from './journalStore.js';

/** Creates the location of journals on this instance's disk. */
export function localJournalLocation(
  instance: string,
  store: JournalStore,
): JournalLocation {
  return {
    instance,
    append: (grantId, entries) => store.append(grantId, entries),
    remove: grantId => store.remove(grantId),
  };
}

/** Creates the location of journals on another instance's disk. */
export function remoteJournalLocation(
  instance: string,
  address: string,
  calls: Pick<InstanceCalls, 'appendJournal' | 'removeJournal'>,
): JournalLocation {
  return {
    instance,
    append: (grantId: string, entries: JournalEntry[]) =>
      calls.appendJournal(address, {grantId, entries}),
    remove: grantId => calls.removeJournal(address, {grantId}),
  };
}
