/** @fileoverview Ledger replica of an instance with a disk. */

export {LedgerHost, type LedgerHostOptions} from './ledgerHost.js';
