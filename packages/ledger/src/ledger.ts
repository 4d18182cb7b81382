/**
 * @fileoverview Deterministic state machine for budgets and contracts.
 *
 * The same commands in the same order give the same results on every replica:
 * time is read only from the log entries, and no random numbers are used.
 */
import {
  type Bill,
  type BudgetView,
  type ChangeResult,
  type ChangeView,
  type Command,
  type ContractView,
  type GrantView,
  type Result,
} from '@dogwoodtrestle/schema';

import {assertBudgetInvariant} from './account.js';
import {changeResult} from './commands/contractCommands.js';
import {affectedCustomer, handleCommand} from './commands/handlers.js';
import {defaultOptions, type LedgerOptions} from './ledgerOptions.js';
import {
  type LedgerSnapshot,
  restoreSnapshot,
  takeSnapshot,
} from './ledgerSnapshot.js';
import {createState, type LedgerState} from './ledgerState.js';
import {acceptPendingAfterExpiry, acceptPending} from './pendingChange.js';
import {
  type OpenRequestRecord,
  type SettledRequestRecord,
} from './requestStore.js';
import {findSumMismatches} from './sumMismatches.js';
import {budgetView, changeView, contractView, grantView} from './views.js';

/** Position of a command in the log. */
export interface CommandContext {
  /** Log index of the entry. */
  index: number;
  /** Ledger time of the entry in milliseconds. */
  timestamp: number;
}

/** Grant with its customer. */
export interface CustomerGrant extends GrantView {
  customer: string;
}

/** State machine for budgets and contracts. */
export class Ledger {
  private state: LedgerState;
  private readonly options: LedgerOptions;

  constructor(options: Partial<LedgerOptions> = {}) {
    this.options = {...defaultOptions, ...options};
    this.state = createState(this.options);
  }

  /** Number of contract versions created so far, over all customers. */
  get revision(): number {
    return this.state.revision;
  }

  /** Ledger time of the newest command. */
  get now(): number {
    return this.state.now;
  }

  /**
   * Applies a command that is valid by the schema. Refusals and rejections are
   * results, not errors.
   *
   * @throws InvariantViolation if the sums are invalid or exceed the prepaid
   *   amount.
   */
  apply(command: Command, context: CommandContext): Result {
    const {state} = this;
    state.now = Math.max(state.now, context.timestamp);
    state.index = context.index;
    this.expire();
    const customer = affectedCustomer(state, command);
    const result = handleCommand(state, command);
    const account =
      customer === undefined ? undefined : state.accounts.get(customer);
    if (account !== undefined) {
      acceptPending(state, account);
      assertBudgetInvariant(account);
    }
    return result;
  }

  /** Returns the state as a JSON value. */
  snapshot(): LedgerSnapshot {
    return takeSnapshot(this.state);
  }

  /** Replaces the state with that of a snapshot. */
  restore(snapshot: LedgerSnapshot): void {
    this.state = restoreSnapshot(this.options, snapshot);
  }

  /** Returns and removes the bills created since the last call. */
  takeBills(): Bill[] {
    const {bills} = this.state;
    this.state.bills = [];
    return bills;
  }

  /** Returns the balance of a customer. */
  budget(customer: string): BudgetView | undefined {
    const account = this.state.accounts.get(customer);
    return account && budgetView(this.state, account);
  }

  /** Returns the balances of all customers. */
  budgets(): BudgetView[] {
    return [...this.state.accounts.values()].map(account =>
      budgetView(this.state, account),
    );
  }

  /** Returns the newest contract of a customer. */
  contract(customer: string): ContractView | undefined {
    const account = this.state.accounts.get(customer);
    return account && contractView(this.state, account);
  }

  /** Returns the newest contracts of all customers. */
  contracts(): ContractView[] {
    return [...this.state.accounts.values()].map(account =>
      contractView(this.state, account),
    );
  }

  /** Returns the contract that the key hash of a workspace belongs to. */
  contractByKeyHash(keyHash: string): ContractView | undefined {
    const customer = this.state.customersByKeyHash.get(keyHash);
    return customer === undefined ? undefined : this.contract(customer);
  }

  /** Returns the contracts that changed after a revision, oldest first. */
  changesSince(revision: number): ContractView[] {
    return this.state.revisions
      .since(revision)
      .flatMap(customer => this.contract(customer) ?? []);
  }

  /** Returns the current result of a change within the retention. */
  change(changeId: string): ChangeResult | undefined {
    const record = this.state.changes.records.get(changeId);
    return record && changeResult(this.state, record);
  }

  /** Returns the changes of a customer within the retention, oldest first. */
  contractHistory(customer: string): ChangeView[] {
    const changeIds = this.state.accounts.get(customer)?.changeIds ?? [];
    return changeIds.flatMap(changeId => {
      const record = this.state.changes.records.get(changeId);
      return record === undefined ? [] : [changeView(record)];
    });
  }

  /** Returns a request by its key in the form `customer/workspace/key`. */
  request(
    requestKey: string,
  ): OpenRequestRecord | SettledRequestRecord | undefined {
    const {open, settled} = this.state.requests;
    return open.get(requestKey) ?? settled.get(requestKey);
  }

  /** Returns all open requests. */
  openRequests(): OpenRequestRecord[] {
    return [...this.state.requests.open.values()];
  }

  /** Returns all grants that have not been returned. */
  grants(): CustomerGrant[] {
    return [...this.state.grants.values()].map(grant => ({
      customer: grant.customer,
      ...grantView(this.state, grant),
    }));
  }

  /**
   * Returns the earliest ledger time at which a pending change may be accepted
   * because a grant has expired.
   */
  nextExpiry(): number | undefined {
    return this.state.pendingExpiries.peek()?.priority;
  }

  /** Returns the numbers of settled and forgotten request keys, for metrics. */
  keyCounts(): {settled: number; forgotten: number; forgottenBytes: number} {
    const {settled, forgotten} = this.state.requests;
    return {
      settled: settled.size,
      forgotten: forgotten.size,
      forgottenBytes: forgotten.bytes,
    };
  }

  /**
   * Recomputes all sums from the records and describes those that differ.
   * The cost is linear in the size of the state.
   */
  verifySums(): string[] {
    return findSumMismatches(this.state);
  }

  private expire(): void {
    const {state} = this;
    state.requests.expire(state.now);
    for (const {changeId, customer, version} of state.changes.expire(
      state.now,
    )) {
      const account = state.accounts.get(customer);
      if (account === undefined) continue;
      if (account.changeIds[0] === changeId) account.changeIds.shift();
      if (account.versionChanges.get(version) === changeId) {
        account.versionChanges.delete(version);
      }
    }
    acceptPendingAfterExpiry(state);
  }
}
