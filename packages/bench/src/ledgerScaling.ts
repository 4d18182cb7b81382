/**
 * @fileoverview Measures how the cost of the ledger grows with its contents:
 * time per command, heap per budget, request and key, and snapshots.
 *
 * Heap figures need `node --expose-gc`; without it they read "not measured".
 */
import {createHash} from 'node:crypto';

import {Ledger, type LedgerSnapshot} from '@dogwoodtrestle/ledger';
import {type Command, type Contract} from '@dogwoodtrestle/schema';

import {type Row} from './util/table.js';

const hourMilliseconds = 3_600_000;
const microsecondsPerMillisecond = 1000;
const prepaidMicros = 1_000_000_000;

/** Options of the measurement. */
export interface LedgerScalingOptions {
  /** Numbers of budgets to measure, one row each. */
  budgets: readonly number[];
  /** Number of requests that are open at the same time. */
  openRequests: number;
  /** Number of open and settle pairs that are timed. */
  commands: number;
}

/** Defaults of {@link LedgerScalingOptions}. */
export const defaultLedgerScalingOptions: LedgerScalingOptions = {
  budgets: [10, 1000, 10_000, 55_000],
  openRequests: 5000,
  commands: 20_000,
};

/** Returns one row for each number of budgets. */
export function measureLedgerScaling(
  changes: Partial<LedgerScalingOptions> = {},
): Row[] {
  const options = {...defaultLedgerScalingOptions, ...changes};
  // Warms up the JIT compiler; the result is discarded.
  new ScalingRun({...options, commands: 2000}, 100).run();
  return options.budgets.map(budgets => new ScalingRun(options, budgets).run());
}

/** Measures a ledger with one number of budgets. */
class ScalingRun {
  private ledger = new Ledger();
  private index = 0;
  private now = hourMilliseconds;

  constructor(
    private readonly options: LedgerScalingOptions,
    private readonly budgets: number,
  ) {}

  run(): Row {
    const {openRequests, commands} = this.options;
    const contracts = this.measurePhase(this.budgets, number =>
      this.createContractCommand(number),
    );
    const opens = this.measurePhase(openRequests, number =>
      this.createOpenCommand(number),
    );
    const snapshot = this.measureSnapshot();
    const openAndSettleMicroseconds = this.timeOpenAndSettle(
      openRequests,
      commands,
    );
    this.settleAll(openRequests);
    const before = heapUsed();
    const settled = this.ledger.keyCounts().settled;
    this.advanceTime(2 * hourMilliseconds);
    const after = heapUsed();
    const {forgotten, forgottenBytes} = this.ledger.keyCounts();
    return {
      budgets: this.budgets,
      'contract µs': contracts.microseconds,
      'open+settle µs': openAndSettleMicroseconds,
      'B/budget': contracts.bytes,
      'B/open request': opens.bytes,
      'B/settled key':
        before === undefined || after === undefined
          ? 'not measured'
          : Math.round((before - after) / settled),
      'B/forgotten key': forgottenBytes / forgotten,
      ...snapshot,
    };
  }

  /** Applies `count` commands; returns the time and heap bytes per command. */
  private measurePhase(
    count: number,
    createCommand: (number: number) => Command,
  ): {microseconds: number; bytes: number | string} {
    const before = heapUsed();
    const commands = Array.from({length: count}, (_, number) =>
      JSON.stringify(createCommand(number)),
    );
    const parsed = commands.map(text => JSON.parse(text) as Command);
    const start = performance.now();
    for (const command of parsed) this.apply(command);
    const elapsed = performance.now() - start;
    commands.length = 0;
    parsed.length = 0;
    const after = heapUsed();
    const isKnown = before !== undefined && after !== undefined;
    return {
      microseconds: (elapsed * microsecondsPerMillisecond) / count,
      bytes: isKnown ? Math.round((after - before) / count) : 'not measured',
    };
  }

  /**
   * Returns the microseconds that opening and settling one request takes while
   * the first `first` requests are open.
   */
  private timeOpenAndSettle(first: number, count: number): number {
    const pairs = Array.from({length: count}, (_, number) => [
      this.createOpenCommand(first + number),
      this.createSettleCommand(first + number),
    ]).flat();
    const start = performance.now();
    for (const command of pairs) this.apply(command);
    const elapsed = performance.now() - start;
    this.ledger.takeBills();
    return (elapsed * microsecondsPerMillisecond) / count;
  }

  private measureSnapshot(): Row {
    const start = performance.now();
    const snapshot = this.ledger.snapshot();
    const taken = performance.now();
    const text = JSON.stringify(snapshot);
    const written = performance.now();
    const restored = new Ledger();
    restored.restore(JSON.parse(text) as LedgerSnapshot);
    const end = performance.now();
    return {
      'snapshot ms': taken - start,
      'to JSON ms': written - taken,
      'restore ms': end - written,
      'snapshot KB': Math.round(text.length / 1024),
    };
  }

  private settleAll(count: number): void {
    for (let number = 0; number < count; number++) {
      this.apply(this.createSettleCommand(number));
    }
    this.ledger.takeBills();
  }

  private advanceTime(milliseconds: number): void {
    this.now += milliseconds;
    this.apply({kind: 'advanceTime'});
  }

  private apply(command: Command): void {
    this.ledger.apply(command, {index: ++this.index, timestamp: this.now});
  }

  private customerOf(number: number): string {
    return `customer-${number % this.budgets}`;
  }

  private createContractCommand(number: number): Command {
    const customer = this.customerOf(number);
    return {
      kind: 'applyContract',
      changeId: `change-${number}`,
      operator: 'bench',
      expectedVersion: 0,
      contract: createContract(customer),
    };
  }

  private createOpenCommand(number: number): Command {
    return {
      kind: 'openRequest',
      requestKey: `0192f0c1-7a00-7000-8000-${String(number).padStart(12, '0')}`,
      fingerprint: String(number).padStart(32, '0'),
      customer: this.customerOf(number),
      workspace: 'desk',
      target: {kind: 'model', name: 'model-1'},
      maximumCost: 100,
      unknownCost: 0,
      contractVersion: 1,
      holder: 'router-1',
      idempotent: true,
      traceId: String(number).padStart(32, '0'),
    };
  }

  private createSettleCommand(number: number): Command {
    const key = `0192f0c1-7a00-7000-8000-${String(number).padStart(12, '0')}`;
    return {
      kind: 'settleRequest',
      requestKey: `${this.customerOf(number)}/desk/${key}`,
      attempt: 1,
      cost: 50,
      usage: {inputTokens: 10, outputTokens: 20},
      outcome: 'completed',
      instance: 'router-1',
      backend: 'model-server-1',
      attempts: 1,
      settledAt: this.now,
    };
  }
}

/** Creates a contract with three models, two services and four workspaces. */
function createContract(customer: string): Contract {
  const [first, ...others] = ['desk', 'lab', 'field', 'office'];
  const createWorkspace = (name: string): Contract['workspaces'][0] => ({
    name,
    keyHash: `sha256:${createHash('sha256').update(`${customer} ${name}`).digest('hex')}`,
    sharePercent: 100,
    limits: {},
  });
  return {
    customer,
    budget: {prepaid: prepaidMicros, currency: 'CAD'},
    models: ['model-1', 'model-2', 'model-3'].map(name => ({
      name,
      inputPrice: 1,
      outputPrice: 2,
      adapters: [],
    })),
    services: ['booking', 'status'].map(name => ({name, callPrice: 5})),
    priority: 'normal',
    limits: {requestsPerSecond: 50},
    workspaces: [createWorkspace(first), ...others.map(createWorkspace)],
    partition: {
      servingSeconds: 60,
      grantPercent: 30,
      exhaustionWaitMilliseconds: 0,
    },
  };
}

/** Heap and array buffer bytes after a collection; undefined without `gc`. */
function heapUsed(): number | undefined {
  if (globalThis.gc === undefined) return undefined;
  globalThis.gc();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}
