/** @fileoverview Compares the ledger with a reference model under random commands. */
import {
  type Bill,
  type ChangeResult,
  type Command,
  type JournalRecord,
  type Result,
} from '@dogwoodtrestle/schema';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {auditHistory, Ledger} from '@dogwoodtrestle/ledger';

import {
  applyContractCommand,
  takeGrantCommand,
  keyHash,
  openRequestCommand,
  createJournalRecord,
  settleRequestCommand,
} from './fixtures.js';

/** Generated step; a command uses the fields that its kind needs. */
interface Step {
  kind: number;
  customer: number;
  key: number;
  amount: number;
  variant: number;
  elapsedMilliseconds: number;
  restart: boolean;
}

const customers = ['barley', 'tent'];
const hour = 3_600_000;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.nat(11),
  customer: fc.nat(1),
  key: fc.nat(3),
  amount: fc.nat(400),
  variant: fc.nat(3),
  elapsedMilliseconds: fc.constantFrom(0, 0, 0, 100, 20_000, 70_000, 2 * hour),
  restart: fc.constantFrom(false, false, false, false, true),
});

/** Reference model of a customer's account, computed from plain lists. */
class ModelAccount {
  version = 0;
  toppedUp = 0;
  /** Prepaid amount by version. */
  readonly prepaid = new Map<number, number>();
  accepted = 0;
  readonly bills: Bill[] = [];
  readonly open = new Map<string, number>();
  readonly grants = new Map<string, number>();

  get available(): number {
    const newest = this.prepaid.get(this.version) ?? 0;
    const inForce = this.prepaid.get(this.accepted) ?? 0;
    return Math.min(newest, inForce) + this.toppedUp - this.allocated;
  }

  get allocated(): number {
    return this.billed + total(this.open) + total(this.grants);
  }

  get billed(): number {
    return this.bills.reduce((sum, {cost}) => sum + cost, 0);
  }
}

function total(amounts: Map<string, number>): number {
  return [...amounts.values()].reduce((sum, amount) => sum + amount, 0);
}

/** Applies commands to a ledger, a replica and the model, and compares them. */
class LedgerSimulation {
  readonly ledger = new Ledger();
  replica = new Ledger();
  readonly model = new Map(customers.map(name => [name, new ModelAccount()]));
  readonly history: Array<{command: Command; timestamp: number}> = [];
  readonly results: Result[] = [];
  now = 1000;

  step(step: Step): void {
    this.now += step.elapsedMilliseconds;
    if (step.restart) this.restartReplica();
    const command = this.createCommand(step);
    const before = this.account(step).available;
    const result = this.apply(command);
    this.updateModel(step, command, result, before);
    this.compareWithModel();
  }

  account({customer}: Step): ModelAccount {
    return this.model.get(customers[customer]!)!;
  }

  apply(command: Command): Result {
    const context = {index: this.history.length + 1, timestamp: this.now};
    const result = this.ledger.apply(command, context);
    expect(this.replica.apply(structuredClone(command), context)).toEqual(
      result,
    );
    this.history.push({command, timestamp: this.now});
    this.results.push(result);
    return result;
  }

  restartReplica(): void {
    const snapshot = JSON.stringify(this.ledger.snapshot());
    this.replica = new Ledger();
    this.replica.restore(JSON.parse(snapshot) as never);
  }

  createCommand(step: Step): Command {
    const {kind, customer: index, key, amount, variant} = step;
    const customer = customers[index]!;
    const workspace = variant === 0 ? 'lab' : 'desk';
    const {version} = this.account(step);
    const contractVersion = Math.max(
      1,
      key === 3 && variant === 3 ? version - 1 : version,
    );
    const requestKey = `k${key}`;
    const scoped = `${customer}/${workspace}/${requestKey}`;
    const grantId = `${customer}-g${key % 3}-${Math.floor(this.history.length / 25)}`;
    const records: JournalRecord[] = [
      createJournalRecord(
        variant + 1,
        variant === 3 ? undefined : amount % 60,
        {
          requestKey,
          workspace,
          contractVersion,
        },
      ),
    ];
    const change = {changeId: `c${amount % 40}`, operator: `o${variant}`};
    const open = openRequestCommand({
      requestKey,
      customer,
      workspace,
      maximumCost: amount,
      contractVersion,
      idempotent: key % 2 === 0,
    });
    const settle = settleRequestCommand({requestKey: scoped, cost: amount});
    const contract = applyContractCommand(change.changeId, version, {
      customer,
      budget: {prepaid: 500 + amount * 2, currency: 'CAD'},
      ...(variant === 1 ? {models: []} : {}),
      workspaces: [
        {
          name: 'desk',
          keyHash: keyHash(index * 2 + 1),
          sharePercent: 100,
          limits: {},
        },
        {
          name: 'lab',
          keyHash: keyHash(index * 2 + 2),
          sharePercent: 40,
          limits: {},
        },
      ],
    });
    const commands: Command[] = [
      contract,
      {...contract, expectedVersion: variant},
      open,
      open,
      settle,
      {...settle, outcome: variant > 1 ? 'didNotRun' : 'completed'},
      takeGrantCommand({
        grantId,
        customer,
        amount: amount + 1,
        contractVersion,
      }),
      {kind: 'mergeJournal', grantId, records},
      {kind: 'returnGrant', grantId, records},
      {kind: 'topUp', ...change, customer, amount: amount + 1},
      {
        kind: 'adoptRequest',
        requestKey: scoped,
        expectedAttempt: 1 + (variant % 2),
        holder: 'r9',
      },
      variant === 0
        ? {
            kind: 'retireContract',
            ...change,
            customer,
            expectedVersion: Math.max(1, version),
          }
        : {kind: 'advanceTime'},
    ];
    return commands[kind]!;
  }

  /** Updates the model by a result, and checks the result against the model. */
  updateModel(
    step: Step,
    command: Command,
    result: Result,
    before: number,
  ): void {
    const account = this.account(step);
    for (const bill of this.ledger.takeBills()) {
      const owner = this.model.get(bill.customer)!;
      owner.bills.push(bill);
      owner.open.delete(bill.requestKey);
      if (bill.grantId !== undefined) {
        const left = owner.grants.get(bill.grantId)! - bill.cost;
        expect(left).toBeGreaterThanOrEqual(0);
        owner.grants.set(bill.grantId, left);
      }
    }
    this.replica.takeBills();
    if (result.kind === 'opened' && command.kind === 'openRequest') {
      expect(command.maximumCost).toBeLessThanOrEqual(before);
      account.open.set(result.requestKey, command.maximumCost);
    }
    if (result.kind === 'refused' && result.code === 'budgetExhausted') {
      expect(result.available).toBe(before);
      if (command.kind === 'openRequest') {
        expect(command.maximumCost).toBeGreaterThan(before);
      }
    }
    if (result.kind === 'granted' && !account.grants.has(result.grantId)) {
      expect(result.amount).toBeLessThanOrEqual(before);
      account.grants.set(result.grantId, result.amount);
    }
    if (result.kind === 'merged' && command.kind === 'returnGrant') {
      expect(account.grants.get(command.grantId) ?? 0).toBe(result.returned);
      account.grants.delete(command.grantId);
    }
    if (result.kind === 'change') this.recordChange(account, command, result);
  }

  recordChange(
    account: ModelAccount,
    command: Command,
    result: ChangeResult,
  ): void {
    const isResend = this.results
      .slice(0, -1)
      .some(
        (earlier, index) =>
          earlier.kind === 'change' &&
          earlier.changeId === result.changeId &&
          JSON.stringify(this.history[index]?.command) ===
            JSON.stringify(command),
      );
    if (isResend || result.state === 'rejected') return;
    if (command.kind === 'topUp') {
      account.toppedUp += command.amount;
    } else if (command.kind === 'applyContract') {
      account.prepaid.set(++account.version, command.contract.budget.prepaid);
    } else {
      const prepaid = account.prepaid.get(account.version)!;
      account.prepaid.set(++account.version, prepaid);
    }
    expect(result.version).toBe(account.version);
  }

  compareWithModel(): void {
    expect(this.ledger.verifySums()).toEqual([]);
    for (const [customer, account] of this.model) {
      const view = this.ledger.budget(customer);
      if (view === undefined) continue;
      const contract = this.ledger.contract(customer)!;
      expect(contract.version).toBe(account.version);
      if (contract.pending === undefined) account.accepted = account.version;
      expect(view).toMatchObject({
        billed: account.billed,
        reserved: total(account.open),
        granted: total(account.grants),
        available: account.available,
      });
      const prepaidTotal =
        account.prepaid.get(account.accepted)! + account.toppedUp;
      expect(account.allocated).toBeLessThanOrEqual(prepaidTotal);
      const keys = account.bills
        .filter(({outcome}) => outcome !== 'didNotRun')
        .map(({requestKey}) => requestKey);
      expect(new Set(keys).size).toBe(keys.length);
    }
  }

  finish(): void {
    const replayed = new Ledger();
    const results = this.history.map(({command, timestamp}, index) =>
      replayed.apply(command, {index: index + 1, timestamp}),
    );
    expect(results).toEqual(this.results);
    const toJson = (ledger: Ledger): unknown =>
      JSON.parse(JSON.stringify(ledger.snapshot()));
    expect(toJson(replayed)).toEqual(toJson(this.ledger));
    expect(toJson(this.replica)).toEqual(toJson(this.ledger));
    const entries = this.history.map(({command, timestamp}, position) => ({
      index: position + 1,
      term: 1,
      timestamp,
      kind: 'commands',
      commands: [command],
    }));
    const budgets = this.ledger.budgets();
    const bills = [...this.model.values()].flatMap(account => account.bills);
    expect(auditHistory(entries, {budgets, bills}).findings).toEqual([]);
    const readViews = (ledger: Ledger): unknown => [
      ledger.changesSince(0),
      ledger.budgets(),
      customers.map(name => ledger.contractHistory(name)),
    ];
    expect(readViews(this.replica)).toEqual(readViews(this.ledger));
  }
}

describe('ledger', () => {
  it('agrees with a reference model, a restored replica and a replay', () => {
    const kinds = new Set<string>();
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {minLength: 20, maxLength: 120}),
        steps => {
          const simulation = new LedgerSimulation();
          simulation.apply(applyContractCommand('start', 0));
          simulation.model.get('barley')!.prepaid.set(1, 1000);
          simulation.model.get('barley')!.version = 1;
          simulation.compareWithModel();
          for (const step of steps) simulation.step(step);
          simulation.finish();
          for (const result of simulation.results) {
            kinds.add(
              result.kind === 'refused'
                ? result.code
                : result.kind === 'change'
                  ? result.state
                  : result.kind,
            );
          }
        },
      ),
      {seed: 20261203, numRuns: 300},
    );
    // The generated steps must produce each of these outcomes.
    expect([...kinds]).toEqual(
      expect.arrayContaining([
        'accepted',
        'pending',
        'rejected',
        'opened',
        'duplicate',
        'billed',
        'granted',
        'merged',
        'budgetExhausted',
        'workspaceShareExhausted',
        'staleContract',
        'keyTooOld',
        'grantLimitReached',
        'contractRetired',
        'unknownGrant',
        'attemptSuperseded',
        'notIdempotent',
      ]),
    );
  });
});
