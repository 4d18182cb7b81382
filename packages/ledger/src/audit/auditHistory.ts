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
  type HistoryEntry,
} from './auditReport.js';
import {CustomerBook} from './customerBook.js';

/** Audits a whole history at once. */
export function auditHistory(
  entries: Iterable<HistoryEntry>,
  evidence: AuditEvidence,
  options: Partial<LedgerOptions> = {},
): AuditReport {
  const audit = new HistoryAudit(options);
  for (const entry of entries) audit.add(entry);
  return audit.finish(evidence);
}

/** Audits a history entry by entry. */
export class HistoryAudit {
  private readonly ledger: Ledger;
  private readonly books = new Map<string, CustomerBook>();
  private readonly grantOwners = new Map<string, string>();
  /** Newest bill by request key. */
  private readonly bills = new Map<string, Bill>();
  /** Bills that have not been seen in the archive, by key and entry. */
  private readonly unarchived = new Map<string, Bill>();
  private readonly changes = new Set<string>();
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

  /** Compares the books with the evidence. */
  finish(evidence: AuditEvidence): AuditReport {
    this.checked.customers = this.books.size;
    this.compareBalances(evidence.budgets);
    if (evidence.bills !== undefined) this.compareBills(evidence.bills);
    return {checked: this.checked, findings: this.findings};
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
    try {
      const result = this.ledger.apply(command, {index, timestamp});
      this.enterResult(index, command, result);
    } catch (error) {
      // Nothing can be decided after a breach, so the rest is not entered.
      this.stopped = true;
      this.report(index, `stopped: ${String(error)}`);
    }
  }

  private enterResult(index: number, command: Command, result: Result): void {
    for (const bill of this.ledger.takeBills()) this.enterBill(index, bill);
    if (result.kind === 'change') this.enterChange(index, command, result);
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
    const isResend = this.changes.has(result.changeId);
    this.changes.add(result.changeId);
    if (isResend || result.state === 'rejected') return;
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
    this.unarchived.set(billName(bill), bill);
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

  private compareBalances(budgets: BudgetView[]): void {
    const shown = new Map(budgets.map(view => [view.customer, view]));
    for (const {customer, lastIndex} of this.books.values()) {
      if (shown.has(customer)) continue;
      this.report(
        lastIndex,
        'the history has a balance, none is shown',
        customer,
      );
    }
    for (const view of budgets) {
      this.checked.balances++;
      const book = this.books.get(view.customer);
      if (book === undefined) {
        const message = 'a balance is shown, the history has none';
        this.findings.push({customer: view.customer, message});
        continue;
      }
      for (const message of book.compare(view)) {
        this.report(book.lastIndex, message, view.customer);
      }
    }
  }

  private compareBills(archive: Bill[]): void {
    const counted = new Map(this.unarchived);
    for (const bill of archive) {
      this.checked.archivedBills++;
      const {requestKey, customer, index, cost} = bill;
      const name = billName(bill);
      const match = counted.get(name);
      if (match === undefined) {
        const message = `archived bill of ${requestKey} is not in the history`;
        this.report(index, message, customer);
      } else if (!this.unarchived.delete(name)) {
        this.report(index, `${requestKey} is archived twice`, customer);
      } else if (match.cost !== cost) {
        const message = `archived bill of ${requestKey} is ${cost}, the history gives ${match.cost}`;
        this.report(index, message, customer);
      }
    }
    for (const {requestKey, customer, index} of this.unarchived.values()) {
      this.report(index, `bill of ${requestKey} is not archived`, customer);
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
    this.findings.push({
      ...(customer === undefined ? {} : {customer}),
      index,
      message: `entry ${index}: ${message}`,
    });
  }
}

/** A key that was billed nothing may be billed again in a later entry. */
function billName({requestKey, index}: Bill): string {
  return `${requestKey} ${index}`;
}
