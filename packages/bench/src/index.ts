/** @fileoverview Public API of the package. */
export {
  defaultLedgerScalingOptions,
  type LedgerScalingOptions,
  measureLedgerScaling,
} from './ledgerScaling.js';
export {
  barleyDesk,
  compareGrantTerms,
  compareMoney,
  defaultMoneyBenchOptions,
  type MoneyBenchOptions,
  type MoneySetting,
  tentCommons,
} from './money/index.js';
export {formatTable, type Row} from './util/table.js';
