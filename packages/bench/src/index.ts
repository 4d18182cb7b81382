/** @fileoverview Face of the package; see its README. */
export {
  defaultLedgerScalingOptions,
  type LedgerScalingOptions,
  measureLedgerScaling,
} from './ledgerSlopes.js';
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
