/** @fileoverview A ledger replica on an instance with a disk. */

export {LedgerHost, type LedgerHostOptions} from './ledgerHost.js';
