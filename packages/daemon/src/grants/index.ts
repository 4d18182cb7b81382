/** @fileoverview Grants that are spent while the quorum is out of reach. */
export {GrantRecall, type GrantRecallOptions} from './grantRecall.js';
export {type GrantOpened, Grants, type GrantsOptions} from './grants.js';
export {type GrantOpening} from './heldGrant.js';
export {type JournalPlace} from './journal.js';
export {localPlace, remotePlace} from './journalPlaces.js';
export {
  JournalRecovery,
  type JournalRecoveryOptions,
} from './journalRecovery.js';
export {JournalStore, type JournalStoreOptions} from './journalStore.js';
