/**
 * @fileoverview Totals of loans between two incarnations of routers.
 *
 * A lender's reply carries the total that it ever lent to the borrower's
 * incarnation, so that lost and reordered replies do no harm.
 */

/** Loans from or to one incarnation of a router. */
interface LoansOfIncarnation {
  life: string;
  /** Tokens by workspace. */
  totals: Map<string, number>;
}

/** Totals by the other router's address; a new incarnation starts at zero. */
export class LoanTotals {
  private readonly routers = new Map<string, LoansOfIncarnation>();

  /** Returns the tokens lent so far. */
  total(address: string, life: string, workspace: string): number {
    const known = this.routers.get(address);
    if (known?.life !== life) return 0;
    return known.totals.get(workspace) ?? 0;
  }

  /** Sets the tokens lent so far. */
  set(address: string, life: string, workspace: string, total: number): void {
    let known = this.routers.get(address);
    if (known?.life !== life) {
      known = {life, totals: new Map()};
      this.routers.set(address, known);
    }
    known.totals.set(workspace, total);
  }
}
