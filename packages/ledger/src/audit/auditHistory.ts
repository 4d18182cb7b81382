/**
 * @fileoverview Audits balances against the committed history.
 *
 * The commands are applied again to learn what was decided. Every decision
 * that moves money is then entered into books of the auditor's own and
 * judged by them: whether a request or grant was covered, whether a key was
 * billed before, whether a bill exceeds what was held for it, and in the end
 * whether the books agree with the balances and bills that are shown.
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
  findingOf,
  type HistoryEntry,
} from './auditReport.js';
import {billName, compareBills} from './billArchive.js';
import {CustomerBook} from './customerBook.js';

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
  private readonly books = new Map<string, CustomerBook>();
  private readonly grantOwners = new Map<string, string>();
  /** Newest bill by request key. */
  private readonly bills = new Map<string, Bill>();
  /** All bills, by key and entry. */
  private readonly madeBills = new Map<string, Bill>();
  /** Customers whose balance has been compared. */
  private readonly compared = new Set<string>();
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

  /** Enters the next committed entry. */
  add(entry: HistoryEntry): void {
    this.checkOrder(entry);
    this.previous = entry;
    this.checked.entries++;
    for (const command of entry.commands ?? []) {
      if (!this.stopped) this.enterCommand(entry, command);
    }
  }

  /** Index of the newest entry that was entered. */
  get lastIndex(): number {
    return this.previous.index;
  }

  /**
   * Compares the books with the evidence. May be called again after further
   * entries, with newer evidence; customers that were compared before are left
   * out then.
   */
  finish(evidence: AuditEvidence): AuditReport {
    const asOf = evidence.asOf ?? Infinity;
    this.checked.customers = this.books.size;
    this.checked.balancesSkipped = 0;
    this.compareBalances(evidence.budgets, asOf);
    const {bills} = evidence;
    const differences =
      bills === undefined ? [] : compareBills(this.madeBills, bills, asOf);
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

  private enterCommand(entry: HistoryEntry, value: unknown): void {
    this.checked.commands++;
    const validation = validate('Command', structuredClone(value));
    if ('findings' in validation) {
      const places = validation.findings.map(
        ({path, message}) => `${path} ${message}`,
      );
      this.report(entry.index, `invalid command: ${places.join('; ')}`);
      return;
    }
    const command = validation.value;
    const {index, timestamp} = entry;
    const context = {index, timestamp};
    try {
      // Ids that are past their retention are forgotten first.
      this.ledger.apply({kind: 'advanceTime'}, context);
      const isResend =
        'changeId' in command &&
        this.ledger.change(command.changeId) !== undefined;
      const result = this.ledger.apply(command, context);
      this.enterResult(index, command, result, isResend);
    } catch (error) {
      // Nothing can be decided after a breach, so the rest is not entered.
      this.stopped = true;
      this.report(index, `stopped: ${String(error)}`);
    }
  }

  private enterResult(
    index: number,
    command: Command,
    result: Result,
    isResend: boolean,
  ): void {
    for (const bill of this.ledger.takeBills()) this.enterBill(index, bill);
    if (result.kind === 'change' && !isResend) {
      this.enterChange(index, command, result);
    }
    if (result.kind === 'opened' && command.kind === 'openRequest') {
      this.checked.opens++;
      const book = this.bookOf(command.customer, index);
      book.enterReservation(result.requestKey, command.maximumCost);
      this.checkExcess(index, book);
    }
    if (result.kind === 'granted' && command.kind === 'takeGrant') {
      const book = this.bookOf(command.customer, index);
      if (!book.enterGrant(result.grantId, result.amount)) return;
      this.checked.grants++;
      this.grantOwners.set(result.grantId, book.customer);
      this.checkExcess(index, book);
    }
    if (result.kind === 'merged' && command.kind === 'returnGrant') {
      this.enterReturn(index, command.grantId, result.returned);
    }
  }

  private enterChange(
    index: number,
    command: Command,
    result: Extract<Result, {kind: 'change'}>,
  ): void {
    if (result.state === 'rejected') return;
    const book = this.bookOf(result.customer, index);
    if (command.kind === 'topUp') {
      this.checked.topUps++;
      book.toppedUp += command.amount;
      return;
    }
    this.checked.contractVersions++;
    if (command.kind !== 'applyContract') return;
    book.prepaid = command.contract.budget.prepaid;
    if (result.state === 'accepted') this.checkExcess(index, book);
  }

  private enterBill(index: number, bill: Bill): void {
    const {customer, requestKey, cost} = bill;
    this.checked.bills++;
    this.checked.billedAmount += cost;
    const earlier = this.bills.get(requestKey);
    if (earlier !== undefined && earlier.cost > 0 && cost > 0) {
      const message = `${requestKey} was already billed in entry ${earlier.index}`;
      this.report(index, message, customer);
    }
    this.bills.set(requestKey, bill);
    this.madeBills.set(billName(bill), bill);
    const messages = this.bookOf(customer, index).enterBill(bill);
    for (const message of messages) this.report(index, message, customer);
  }

  private enterReturn(index: number, grantId: string, returned: number): void {
    const customer = this.grantOwners.get(grantId);
    if (customer === undefined) return;
    const left = this.bookOf(customer, index).enterReturn(grantId);
    this.grantOwners.delete(grantId);
    if (left === returned) return;
    const message = `grant ${grantId} returned ${returned}, but ${left} was left`;
    this.report(index, message, customer);
  }

  private checkExcess(index: number, book: CustomerBook): void {
    if (book.excess === 0) return;
    const message = `${book.excess} more is held than was prepaid`;
    this.report(index, message, book.customer);
  }

  private compareBalances(budgets: BudgetView[], asOf: number): void {
    const shown = new Map(budgets.map(view => [view.customer, view]));
    for (const customer of new Set([...this.books.keys(), ...shown.keys()])) {
      if (this.compared.has(customer)) continue;
      const book = this.books.get(customer);
      if (book !== undefined && book.lastIndex > asOf) {
        this.checked.balancesSkipped++;
        continue;
      }
      this.compared.add(customer);
      this.compareBalance(customer, book, shown.get(customer));
    }
  }

  private compareBalance(
    customer: string,
    book: CustomerBook | undefined,
    view: BudgetView | undefined,
  ): void {
    if (view !== undefined) this.checked.balances++;
    if (book === undefined) {
      const message = 'a balance is shown, the history has none';
      this.findings.push({customer, message});
      return;
    }
    const isPending = this.ledger.contract(customer)?.pending !== undefined;
    const messages =
      view === undefined
        ? ['the history has a balance, none is shown']
        : book.compare(view, isPending);
    for (const message of messages) {
      this.report(book.lastIndex, message, customer);
    }
  }

  private bookOf(customer: string, index: number): CustomerBook {
    let book = this.books.get(customer);
    if (book === undefined) {
      book = new CustomerBook(customer);
      this.books.set(customer, book);
    }
    book.lastIndex = index;
    return book;
  }

  private report(index: number, message: string, customer?: string): void {
    this.findings.push(findingOf({index, customer}, message));
  }
}
