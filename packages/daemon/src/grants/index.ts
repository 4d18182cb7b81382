/** @fileoverview Grants that can be spent while the quorum is unreachable. */
export {GrantRecall, type GrantRecallOptions} from './grantRecall.js';
export {type GrantOpenResult, Grants, type GrantsOptions} from './grants.js';
export {type GrantOpenRequest} from './heldGrant.js';
export {type JournalLocation} from './journalLocation.js';
export {
  localJournalLocation,
  remoteJournalLocation,
} from './journalLocations.js';
export {
  JournalRecovery,
  type JournalRecoveryOptions,
} from './journalRecovery.js';
export {JournalStore, type JournalStoreOptions} from './journalStore.js';
