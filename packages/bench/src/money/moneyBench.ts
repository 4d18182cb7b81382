/**
 * @fileoverview Compares overspend and false refusals of the ledger with grants
 * with those of baseline strategies, on the same requests.
 */
import {type Row} from '../util/table.js';
import {
  OracleAdmission,
  type AdmissionStrategy,
  StaticShareAdmission,
} from './admission.js';
import {LedgerAdmission} from './ledgerAdmission.js';
import {type MoneyOutcome, runMoney} from './moneyRun.js';
import {barleyDesk, type MoneySetting, tentCommons} from './moneySetting.js';
import {
  generateWorkload,
  type InputBound,
  type MoneyWorkload,
} from './moneyWorkload.js';
import {type VirtualTime} from '../routing/virtualTime.js';

/** Options of the money benchmark. */
export interface MoneyBenchOptions {
  seeds: readonly number[];
  durationMilliseconds: number;
  settings: readonly MoneySetting[];
  inputBounds: readonly InputBound[];
}

/** Defaults of {@link MoneyBenchOptions}. */
export const defaultMoneyBenchOptions: MoneyBenchOptions = {
  seeds: [1, 2, 3, 4, 5],
  durationMilliseconds: 1_800_000,
  settings: [barleyDesk, tentCommons],
  inputBounds: ['bytes', 'half of the bytes', 'exact'],
};

type AdmissionFactory = (
  setting: MoneySetting,
  workload: MoneyWorkload,
  time: VirtualTime,
) => AdmissionStrategy;

/** Admission strategies by the name in the results. */
const admissionFactories: Record<string, AdmissionFactory> = {
  'ledger with grants': (setting, {payments}, time) =>
    new LedgerAdmission({setting, payments, time, withGrants: true}),
  'quorum only': (setting, {payments}, time) =>
    new LedgerAdmission({setting, payments, time, withGrants: false}),
  'static shares': (setting, {payments}) =>
    new StaticShareAdmission(payments, setting.routers.length),
  accountant: (_setting, {payments}) => new OracleAdmission(payments),
};

/** Returns one row for each setting, partition, input bound and strategy. */
export function compareMoney(changes: Partial<MoneyBenchOptions> = {}): Row[] {
  const options = {...defaultMoneyBenchOptions, ...changes};
  return options.settings.flatMap(setting =>
    [false, true].flatMap(withPartition =>
      options.inputBounds.flatMap(inputBound =>
        compareAdmissions(options, setting, withPartition, inputBound),
      ),
    ),
  );
}

/** Grant terms to compare. */
const comparedTerms = [
  {servingSeconds: 60, grantPercent: 30},
  {servingSeconds: 300, grantPercent: 30},
  {servingSeconds: 900, grantPercent: 30},
  {servingSeconds: 900, grantPercent: 60},
  {servingSeconds: 900, grantPercent: 100},
];

/**
 * Compares grant terms during a partition: false refusals against the longest
 * time that a tightening change waits for outstanding grants.
 */
export function compareGrantTerms(
  changes: Partial<MoneyBenchOptions> = {},
): Row[] {
  const options = {...defaultMoneyBenchOptions, ...changes};
  return options.settings.flatMap(setting =>
    comparedTerms.flatMap(terms => {
      const partition = {...setting.partition, ...terms};
      const changedSetting = {...setting, partition};
      const [row] = compareAdmissions(options, changedSetting, true, 'bytes');
      return {
        user: setting.name,
        'serving s': terms.servingSeconds,
        'granted %': terms.grantPercent,
        'longest wait s': terms.servingSeconds * 1.1 + 1,
        ...pickColumns(row!, [
          'overspend micros',
          'false refusals %',
          'by amount %',
        ]),
      };
    }),
  );
}

function pickColumns(row: Row, names: string[]): Row {
  return Object.fromEntries(names.map(name => [name, row[name]!]));
}

/** Sums over all seeds; amounts in micros. */
interface Totals {
  requests: number;
  refused: number;
  falselyRefused: number;
  /** Cost of the falsely refused requests in micros. */
  falselyRefusedCost: number;
  /** Cost of all requests in micros. */
  demand: number;
  overspend: number;
  spent: number;
  paid: number;
}

function compareAdmissions(
  {seeds, durationMilliseconds}: MoneyBenchOptions,
  setting: MoneySetting,
  withPartition: boolean,
  inputBound: InputBound,
): Row[] {
  const totals = new Map<string, Totals>();
  for (const seed of seeds) {
    const options = {seed, durationMilliseconds, inputBound};
    const workload = generateWorkload(setting, options);
    const run = (factory: AdmissionFactory): MoneyOutcome =>
      runMoney({
        setting,
        workload,
        withPartition,
        admission: time => factory(setting, workload, time),
      });
    const ideal = run(admissionFactories['accountant']!);
    for (const [name, factory] of Object.entries(admissionFactories)) {
      const total = totals.get(name) ?? emptyTotals();
      addOutcome(total, workload, run(factory), ideal);
      totals.set(name, total);
    }
  }
  return [...totals].map(([name, total]) => ({
    user: setting.name,
    partition: withPartition ? 'yes' : 'no',
    'input bound': inputBound,
    admission: name,
    requests: total.requests,
    'overspend micros': total.overspend,
    'refused %': percent(total.refused, total.requests),
    'false refusals %': percent(total.falselyRefused, total.requests),
    'by amount %': percent(total.falselyRefusedCost, total.demand),
    'stranded %': percent(total.paid - total.spent, total.paid),
  }));
}

function emptyTotals(): Totals {
  return {
    requests: 0,
    refused: 0,
    falselyRefused: 0,
    falselyRefusedCost: 0,
    demand: 0,
    overspend: 0,
    spent: 0,
    paid: 0,
  };
}

function addOutcome(
  total: Totals,
  {requests}: MoneyWorkload,
  outcome: MoneyOutcome,
  ideal: MoneyOutcome,
): void {
  total.requests += requests.length;
  total.spent += outcome.spent;
  total.paid += outcome.paid;
  total.overspend += outcome.overspend;
  for (const {id, cost} of requests) {
    total.demand += cost;
    if (outcome.served.has(id)) continue;
    total.refused++;
    if (!ideal.served.has(id)) continue;
    total.falselyRefused++;
    total.falselyRefusedCost += cost;
  }
}

function percent(part: number, whole: number): string {
  return ((part / whole) * 100).toFixed(2);
}
