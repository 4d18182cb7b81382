/**
 * @fileoverview Where the tokens of a prepaid total are, by the replicated
 * books: for operators who ask why a total refuses, or who holds it.
 */
import {
  heldOf,
  type PrepaidAccount,
  type PrepaidState,
  type RouterTotals,
  ungranted,
  unspentOf,
} from './prepaidAccounts.js';

/** Tokens of one life of a router. */
export interface IncarnationView extends Omit<RouterTotals, 'promise'> {
  router: string;
  instance: string;
  /** Whether another life of the instance has started. */
  isOver: boolean;
  /** Unspent by its newest report; nothing once it is over. */
  held: number;
}

/** Tokens of one workspace. */
export interface BudgetView {
  workspace: string;
  /** Missing where the contract sets no bound. */
  prepaid?: number;
  /** Not granted to any router. */
  ungranted?: number;
  used: number;
  /** Unspent at routers, those out of reach among them. */
  held: number;
  /** Lent, and not yet reported by a borrower. */
  underWay: number;
  /** Unspent at lives that ended; counts as spent for good. */
  forfeited: number;
}

/** The replicated state that a view is made of. */
export interface BudgetState {
  readonly prepaid: Readonly<PrepaidState>;
  prepaidOf(workspace: string): number;
}

/** Returns the tokens of all workspaces that any router was granted some of. */
export function viewBudgets(state: BudgetState): BudgetView[] {
  return Object.entries(state.prepaid.accounts).map(([workspace, account]) =>
    viewBudget(state, workspace, account),
  );
}

/** Returns the tokens of a workspace by life, those that hold most first. */
export function viewIncarnations(
  {prepaid}: BudgetState,
  workspace: string,
): IncarnationView[] {
  const lives = Object.entries(prepaid.accounts[workspace]?.routers ?? {});
  return lives
    .map(([router, {promise: _, ...totals}]) => {
      const {life, isOver = true} = prepaid.routers[router] ?? {};
      const held = isOver ? 0 : unspentOf(totals);
      return {router, instance: life?.instance ?? '', isOver, held, ...totals};
    })
    .sort((a, b) => b.held - a.held);
}

function viewBudget(
  state: BudgetState,
  workspace: string,
  account: PrepaidAccount,
): BudgetView {
  const prepaid = state.prepaidOf(workspace);
  const {used, lent, borrowed, forfeited} = account;
  const view: BudgetView = {
    workspace,
    used,
    held: heldOf(account),
    underWay: lent - borrowed,
    forfeited,
  };
  if (prepaid === Infinity) return view;
  return {...view, prepaid, ungranted: ungranted(account, prepaid)};
}
