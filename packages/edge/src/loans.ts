/**
 * @fileoverview Loans between routers: a workspace's holders lend tokens to the
 * routers that serve it, whether the control processes are reached or not.
 *
 * What is lent is spent in the lender's books before the reply is sent; a reply
 * that is lost costs tokens, and never adds any.
 */
import {type HeldGrants, TokenHolders} from '@dogwoodtrestle/fleet';
import {type Counter, type PeerCalls} from '@dogwoodtrestle/runtime';
import {type LoanReply, type LoanRequest} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';

/** Time for which a router that did not answer isn't asked. */
const unansweredMilliseconds = 1_500;

/** Routers that aren't holders and are asked in a partition at the most. */
const maxOthers = 3;

/** What a loan is for. */
export interface LoanNeed {
  workspace: string;
  /** Least that is of use. */
  tokens: number;
  /** Attempt id of the request, for the log. */
  request: string;
}

/** Asks other routers for tokens, and answers them. */
export class Loans {
  private readonly loans: Counter;
  private readonly unansweredUntil = new Map<string, number>();
  private readonly holders = new TokenHolders();

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCalls,
    private readonly grants: HeldGrants,
    private readonly routers: () => readonly string[],
  ) {
    this.loans = options.metrics.counter(
      'dogwoodtrestle_loans_total',
      'Tokens lent and borrowed between routers.',
    );
  }

  /**
   * Borrows tokens from the first router that lends them; false where none does.
   *
   * @param isThorough Whether to ask other routers than holders as well, as
   *     where the control processes can't be asked.
   * @param isOver Whether the tokens are no longer needed.
   */
  async borrow(
    {workspace, tokens, request}: LoanNeed,
    isThorough: boolean,
    isOver: () => boolean,
  ): Promise<boolean> {
    const {clock, logger} = this.options;
    const wished = this.grants.wishFor(workspace, tokens, clock.now());
    const asked: string[] = [];
    for (const lender of this.lenders(workspace, isThorough)) {
      if (isOver()) return false;
      asked.push(lender);
      const lent = await this.ask(lender, {workspace, tokens, wished});
      if (lent === 0) continue;
      this.grants.borrow(workspace, lent);
      this.loans.add({direction: 'borrowed'}, lent);
      logger.info(
        {
          request,
          workspace,
          tokens,
          borrowed: lent,
          unspent: this.grants.borrowed(workspace),
          lender,
        },
        'borrowed tokens',
      );
      return true;
    }
    logger.info(
      {request, workspace, tokens, asked},
      'no router lends the tokens',
    );
    return false;
  }

  /** Answers another router. */
  lend({workspace, tokens, wished}: LoanRequest): LoanReply {
    const {clock, logger} = this.options;
    const lent = this.grants.lend(workspace, tokens, wished, clock.now());
    this.loans.add({direction: 'lent'}, lent);
    logger.debug({workspace, tokens, lent}, 'lent tokens to another router');
    return {tokens: lent};
  }

  /** Routers to ask in turn: the holders, then some others. */
  private lenders(workspace: string, isThorough: boolean): string[] {
    const {clock, random, peerAddress} = this.options;
    const now = clock.now();
    const routers = this.routers();
    const holders = this.holders.of(workspace, routers);
    const start = Math.floor(random() * routers.length);
    const others = isThorough
      ? rotated(routers, start).filter(router => !holders.includes(router))
      : [];
    // All start with another holder, so that none is drained first.
    const first = Math.floor(random() * holders.length);
    return [...rotated(holders, first), ...others.slice(0, maxOthers)].filter(
      router =>
        router !== peerAddress &&
        (this.unansweredUntil.get(router) ?? -Infinity) <= now,
    );
  }

  private async ask(lender: string, request: LoanRequest): Promise<number> {
    const {clock, logger, loanTimeoutMilliseconds} = this.options;
    try {
      const reply = await this.calls.call<LoanReply>(lender, 'lend', request, {
        timeoutMilliseconds: loanTimeoutMilliseconds,
      });
      this.unansweredUntil.delete(lender);
      return reply.tokens;
    } catch (error) {
      this.unansweredUntil.set(lender, clock.now() + unansweredMilliseconds);
      logger.info({err: error, lender}, 'no answer about a loan');
      return 0;
    }
  }
}

function rotated<T>(items: readonly T[], start: number): T[] {
  return [...items.slice(start), ...items.slice(0, start)];
}
