/**
 * @fileoverview Audits balances against the committed history.
 *
 * The commands are replayed to obtain their results. Every result that
 * changes an amount is recorded in separate audit accounts and checked
 * against them: whether a request or grant was covered, whether a key was
 * already billed, and whether a bill exceeds the amount held for it. Finally,
 * the audit accounts are compared with the reported balances and bills.
 */
import {
  type Bill,
  type BudgetView,
  type Command,
  type Result,
  validate,
} from '@dogwoodtrestle/schema';

import {Ledger} from '../ledger.js';
import {type LedgerOptions} from '../ledgerOptions.js';
import {
  type AuditCounts,
  type AuditEvidence,
  type AuditFinding,
  type AuditReport,
  emptyCounts,
  createFinding,
  type HistoryEntry,
} from './auditReport.js';
import {billKey, compareBills} from './billArchive.js';
import {AuditAccount} from './auditAccount.js';

/** Audits a whole history at once. */
export function auditHistory(
  entries: Iterable<HistoryEntry>,
  evidence: AuditEvidence,
  options: Partial<LedgerOptions> = {},
): AuditReport {
  const audit = new HistoryAuditor(options);
  for (const entry of entries) audit.add(entry);
  return audit.finish(evidence);
}

/** Audits a history entry by entry. */
export class HistoryAuditor {
  private readonly ledger: Ledger;
  private readonly accounts = new Map<string, AuditAccount>();
  private readonly customersByGrant = new Map<string, string>();
  /** Newest bill by request key. */
  private readonly bills = new Map<string, Bill>();
  /** All bills, by request key and log index. */
  private readonly allBills = new Map<string, Bill>();
  /** Customers whose balances have been compared. */
  private readonly comparedCustomers = new Set<string>();
  private readonly findings: AuditFinding[] = [];
  private readonly checked: AuditCounts = {...emptyCounts};
  private previous: HistoryEntry = {
    index: 0,
    term: 0,
    timestamp: 0,
    kind: 'noop',
  };
  private stopped = false;

  constructor(options: Partial<LedgerOptions> = {}) {
    this.ledger = new Ledger(options);
  }

  /** Adds the next committed entry. */
  add(entry: HistoryEntry): void {
    this.checkOrder(entry);
    this.previous = entry;
    this.checked.entries++;
    for (const command of entry.commands ?? []) {
      if (!this.stopped) this.applyCommand(entry, command);
    }
  }

  /** Log index of the last added entry. */
  get lastIndex(): number {
    return this.previous.index;
  }

  /**
   * Compares the audit accounts with the evidence. May be called again after
   * further entries, with newer evidence; customers that were already compared
   * are skipped.
   */
  finish(evidence: AuditEvidence): AuditReport {
    const asOf = evidence.asOf ?? Infinity;
    this.checked.customers = this.accounts.size;
    this.checked.balancesSkipped = 0;
    this.compareBalances(evidence.budgets, asOf);
    const {bills} = evidence;
    const differences =
      bills === undefined ? [] : compareBills(this.allBills, bills, asOf);
    return {
      checked: {...this.checked, archivedBills: bills?.length ?? 0},
      findings: [...this.findings, ...differences],
    };
  }

  private checkOrder(entry: HistoryEntry): void {
    const {index, term, timestamp} = this.previous;
    if (entry.index !== index + 1) {
      this.report(entry.index, `follows entry ${index}`);
    }
    if (entry.term < term) {
      this.report(entry.index, `term ${entry.term} follows ${term}`);
    }
    if (entry.timestamp < timestamp) {
      this.report(
        entry.index,
        `time goes back by ${timestamp - entry.timestamp} ms`,
      );
    }
  }

  private applyCommand(entry: HistoryEntry, value: unknown): void {
    this.checked.commands++;
    const validation = validate('Command', structuredClone(value));
    if ('findings' in validation) {
      const problems = validation.findings.map(
        ({path, message}) => `${path} ${message}`,
      );
      this.report(entry.index, `invalid command: ${problems.join('; ')}`);
      return;
    }
    const command = validation.value;
    const {index, timestamp} = entry;
    const context = {index, timestamp};
    try {
      // Expires change ids first: a reused id must not count as a resend.
      this.ledger.apply({kind: 'advanceTime'}, context);
      const isResend =
        'changeId' in command &&
        this.ledger.change(command.changeId) !== undefined;
      const result = this.ledger.apply(command, context);
      this.processResult(index, command, result, isResend);
    } catch (error) {
      // Results after an invariant violation are undefined: skip the rest.
      this.stopped = true;
      this.report(index, `stopped: ${String(error)}`);
    }
  }

  private processResult(
    index: number,
    command: Command,
    result: Result,
    isResend: boolean,
  ): void {
    for (const bill of this.ledger.takeBills()) this.processBill(index, bill);
    if (result.kind === 'change' && !isResend) {
      this.processChange(index, command, result);
    }
    if (result.kind === 'opened' && command.kind === 'openRequest') {
      this.checked.opens++;
      const account = this.getAccountForUpdate(command.customer, index);
      account.addReservation(result.requestKey, command.maximumCost);
      this.checkOverspend(index, account);
    }
    if (result.kind === 'granted' && command.kind === 'takeGrant') {
      const account = this.getAccountForUpdate(command.customer, index);
      if (!account.addGrant(result.grantId, result.amount)) return;
      this.checked.grants++;
      this.customersByGrant.set(result.grantId, account.customer);
      this.checkOverspend(index, account);
    }
    if (result.kind === 'merged' && command.kind === 'returnGrant') {
      this.processReturn(index, command.grantId, result.returned);
    }
  }

  private processChange(
    index: number,
    command: Command,
    result: Extract<Result, {kind: 'change'}>,
  ): void {
    if (result.state === 'rejected') return;
    const account = this.getAccountForUpdate(result.customer, index);
    if (command.kind === 'topUp') {
      this.checked.topUps++;
      account.toppedUp += command.amount;
      return;
    }
    this.checked.contractVersions++;
    if (command.kind !== 'applyContract') return;
    account.prepaid = command.contract.budget.prepaid;
    if (result.state === 'accepted') this.checkOverspend(index, account);
  }

  private processBill(index: number, bill: Bill): void {
    const {customer, requestKey, cost} = bill;
    this.checked.bills++;
    this.checked.billedAmount += cost;
    const earlier = this.bills.get(requestKey);
    if (earlier !== undefined && earlier.cost > 0 && cost > 0) {
      const message = `${requestKey} was already billed in entry ${earlier.index}`;
      this.report(index, message, customer);
    }
    this.bills.set(requestKey, bill);
    this.allBills.set(billKey(bill), bill);
    const messages = this.getAccountForUpdate(customer, index).addBill(bill);
    for (const message of messages) this.report(index, message, customer);
  }

  private processReturn(
    index: number,
    grantId: string,
    returned: number,
  ): void {
    const customer = this.customersByGrant.get(grantId);
    if (customer === undefined) return;
    const remaining = this.getAccountForUpdate(customer, index).removeGrant(
      grantId,
    );
    this.customersByGrant.delete(grantId);
    if (remaining === returned) return;
    const message = `grant ${grantId} returned ${returned}, but ${remaining} was left`;
    this.report(index, message, customer);
  }

  private checkOverspend(index: number, account: AuditAccount): void {
    if (account.excess === 0) return;
    const message = `${account.excess} more is held than was prepaid`;
    this.report(index, message, account.customer);
  }

  private compareBalances(budgets: BudgetView[], asOf: number): void {
    const shown = new Map(budgets.map(view => [view.customer, view]));
    for (const customer of new Set([
      ...this.accounts.keys(),
      ...shown.keys(),
    ])) {
      if (this.comparedCustomers.has(customer)) continue;
      const account = this.accounts.get(customer);
      if (account !== undefined && account.lastIndex > asOf) {
        this.checked.balancesSkipped++;
        continue;
      }
      this.comparedCustomers.add(customer);
      this.compareBalance(customer, account, shown.get(customer));
    }
  }

  private compareBalance(
    customer: string,
    account: AuditAccount | undefined,
    view: BudgetView | undefined,
  ): void {
    if (view !== undefined) this.checked.balances++;
    if (account === undefined) {
      const message = 'a balance is shown, the history has none';
      this.findings.push({customer, message});
      return;
    }
    const isPending = this.ledger.contract(customer)?.pending !== undefined;
    const messages =
      view === undefined
        ? ['the history has a balance, none is shown']
        : account.compare(view, isPending);
    for (const message of messages) {
      this.report(account.lastIndex, message, customer);
    }
  }

  private getAccountForUpdate(customer: string, index: number): AuditAccount {
    let account = this.accounts.get(customer);
    if (account === undefined) {
      account = new AuditAccount(customer);
      this.accounts.set(customer, account);
    }
    account.lastIndex = index;
    return account;
  }

  private report(index: number, message: string, customer?: string): void {
    this.findings.push(createFinding({index, customer}, message));
  }
}
