/**
 * @fileoverview Shows operators where the tokens of a prepaid total are, by the
 * replicated state: why requests are refused, and which routers hold tokens.
 */
import {
  heldOf,
  type PrepaidAccount,
  type PrepaidState,
  type RouterTotals,
  ungranted,
  unspentOf,
} from './prepaidAccounts.js';

/** Tokens of one router incarnation in one workspace. */
export interface IncarnationView extends Omit<RouterTotals, 'promise'> {
  /** Name of the incarnation. */
  router: string;
  instance: string;
  /** Whether another incarnation of the instance has started. */
  isOver: boolean;
  /** Unspent by its newest report; 0 once it has ended. */
  held: number;
}

/** Tokens of one workspace. */
export interface BudgetView {
  workspace: string;
  /** Missing where the contract sets no limit. */
  prepaid?: number;
  /** Not granted to any router; missing where the contract sets no limit. */
  ungranted?: number;
  used: number;
  /** Unspent at routers, unreachable ones included. */
  held: number;
  /** Lent, and not yet reported by the borrower. */
  underWay: number;
  /** Unspent at incarnations that ended; permanently counts as spent. */
  forfeited: number;
}

/** The replicated state that the views are computed from. */
export interface BudgetState {
  readonly prepaid: Readonly<PrepaidState>;
  /** Prepaid total in tokens; Infinity where it is unlimited. */
  prepaidOf(workspace: string): number;
}

/** Returns the tokens of each workspace that a router has reported. */
export function viewBudgets(state: BudgetState): BudgetView[] {
  return Object.entries(state.prepaid.accounts).map(([workspace, account]) =>
    viewBudget(state, workspace, account),
  );
}

/** Returns the tokens of a workspace by incarnation, in descending order held. */
export function viewIncarnations(
  {prepaid}: BudgetState,
  workspace: string,
): IncarnationView[] {
  const incarnations = Object.entries(
    prepaid.accounts[workspace]?.routers ?? {},
  );
  return incarnations
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
