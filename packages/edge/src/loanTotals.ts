/**
 * @fileoverview Totals of loans between two lives of routers.
 *
 * A lender's reply names the total that it ever lent to the borrower's life, so
 * a reply that is lost is made up for by the next one, and replies may overtake
 * each other.
 */

interface LoansOfIncarnation {
  life: string;
  /** Tokens by workspace. */
  totals: Map<string, number>;
}

/** Totals by the other router's address; a new life there starts at zero. */
export class LoanTotals {
  private readonly routers = new Map<string, LoansOfIncarnation>();

  total(address: string, life: string, workspace: string): number {
    const known = this.routers.get(address);
    if (known?.life !== life) return 0;
    return known.totals.get(workspace) ?? 0;
  }

  set(address: string, life: string, workspace: string, total: number): void {
    let known = this.routers.get(address);
    if (known?.life !== life) {
      known = {life, totals: new Map()};
      this.routers.set(address, known);
    }
    known.totals.set(workspace, total);
  }
}
