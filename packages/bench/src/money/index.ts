/** @fileoverview Benchmarks of budgets: overspend and false refusals. */
export {
  compareGrantTerms,
  compareMoney,
  defaultMoneyBenchOptions,
  type MoneyBenchOptions,
} from './moneyBench.js';
export {barleyDesk, type MoneySetting, tentCommons} from './moneySetting.js';
