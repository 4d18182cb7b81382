/** @fileoverview A ledger replica on an instance with a disk. */
export {foundCluster, FoundingError, type FoundingOutcome} from './founding.js';
export {LedgerHost, type LedgerHostOptions} from './ledgerHost.js';
