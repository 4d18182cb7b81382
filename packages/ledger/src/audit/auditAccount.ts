/**
 * @fileoverview Independent account of a customer for audits.
 *
 * It is computed only from commands, results and bills, and shares no code
 * with the sums that the state machine maintains.
 */
import {type Bill, type BudgetView} from '@dogwoodtrestle/schema';

/** Account of a customer for audits; amounts in micros. */
export class AuditAccount {
  prepaid = 0;
  toppedUp = 0;
  billed = 0;
  reserved = 0;
  granted = 0;
  /** Log index of the last entry that changed the account. */
  lastIndex = 0;
  /** Reserved amount by request key. */
  private readonly reservations = new Map<string, number>();
  /** Unbilled amount by grant id. */
  private readonly grants = new Map<string, number>();

  constructor(readonly customer: string) {}

  /** Amount billed, reserved or granted beyond the prepaid amount, or 0. */
  get excess(): number {
    const allocated = this.billed + this.reserved + this.granted;
    return Math.max(0, allocated - this.prepaid - this.toppedUp);
  }

  /** Adds the reservation of an opened request. */
  addReservation(requestKey: string, amount: number): void {
    this.reservations.set(requestKey, amount);
    this.reserved += amount;
  }

  /** Adds a grant; returns false if it is already known. */
  addGrant(grantId: string, amount: number): boolean {
    if (this.grants.has(grantId)) return false;
    this.grants.set(grantId, amount);
    this.granted += amount;
    return true;
  }

  /** Removes a returned grant; returns its unbilled amount. */
  removeGrant(grantId: string): number | undefined {
    const remaining = this.grants.get(grantId);
    this.grants.delete(grantId);
    this.granted -= remaining ?? 0;
    return remaining;
  }

  /** Adds a bill; returns the discrepancies found. */
  addBill(bill: Bill): string[] {
    const {requestKey, cost, grantId} = bill;
    const reserved = this.reservations.get(requestKey);
    const covered = grantId === undefined ? reserved : this.grants.get(grantId);
    const messages: string[] = [];
    if (covered === undefined) {
      messages.push(`bill of ${requestKey} has no reservation and no grant`);
    } else if (cost > covered) {
      messages.push(
        `bill of ${requestKey} is ${cost}, but only ${covered} was held for it`,
      );
    }
    const usageCost = computeUsageCost(bill);
    if (usageCost !== undefined && usageCost !== cost) {
      messages.push(
        `bill of ${requestKey} is ${cost}, but its usage at its prices is ${usageCost}`,
      );
    }
    this.billed += cost;
    this.reserved -= reserved ?? 0;
    this.reservations.delete(requestKey);
    if (grantId !== undefined) {
      this.grants.set(grantId, (covered ?? 0) - cost);
      this.granted -= cost;
    }
    return messages;
  }

  /**
   * Compares the account with a reported balance; returns the differences.
   *
   * @param isPending Whether the newest contract is not in force yet, so that
   *   an older prepaid amount is reported.
   */
  compare(view: BudgetView, isPending: boolean): string[] {
    const prepaidTotal = this.prepaid + this.toppedUp;
    const pairs: Array<[string, number, number]> = [
      ['prepaid', view.prepaid, isPending ? view.prepaid : prepaidTotal],
      ['topped up', view.toppedUp, this.toppedUp],
      ['billed', view.billed, this.billed],
      ['reserved', view.reserved, this.reserved],
      ['granted', view.granted, this.granted],
      ['open requests', view.openRequests, this.reservations.size],
    ];
    return pairs
      .filter(([, shown, expected]) => shown !== expected)
      .map(
        ([name, shown, expected]) =>
          `${name} is shown as ${shown}, the history gives ${expected}`,
      );
  }
}

/** Returns the cost of a completed model request by its usage, if known. */
function computeUsageCost(bill: Bill): number | undefined {
  const {usage, target, outcome, inputPrice, outputPrice} = bill;
  if (usage === undefined || target.kind !== 'model') return undefined;
  if (outcome !== 'completed') return undefined;
  return usage.inputTokens * inputPrice + usage.outputTokens * outputPrice;
}
