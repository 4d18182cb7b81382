/**
 * @fileoverview Loans between routers: a workspace's holders lend tokens to the
 * routers that serve it, whether the control processes are reached or not.
 *
 * What is lent leaves the lender's books before the reply is sent. Replies
 * carry totals, so that tokens of a reply that is lost are had with the next.
 */
import {type HeldGrants, TokenHolders} from '@dogwoodtrestle/fleet';
import {type Counter, type PeerCalls} from '@dogwoodtrestle/runtime';
import {
  checkedMessage,
  type LoanReply,
  type LoanRequest,
} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';
import {LoanTotals} from './loanTotals.js';

/** Time for which a router that did not answer isn't asked. */
const unansweredBackoffMilliseconds = 1_500;

/** Routers that aren't holders and are asked in a partition at the most. */
const maxNonHolders = 3;

/** What a loan is for. */
export interface TokenDemand {
  workspace: string;
  /** Least that is of use. */
  tokens: number;
  /** Attempt id of the request, for the log. */
  request: string;
}

/** The router that borrows and lends. */
export interface LoanParticipant {
  /** Names this life of the router. */
  life: string;
  grants: HeldGrants;
  /** Peer addresses of all routers. */
  routers: () => readonly string[];
}

/** A loan that was not answered: the lender may have lent the tokens. */
interface UncollectedLoan {
  /** The newest question that failed; only a later one tells the total. */
  requestNumber: number;
}

/** Asks other routers for tokens, and answers them. */
export class Loans {
  private readonly loans: Counter;
  private readonly unansweredUntil = new Map<string, number>();
  /** Loans that were not answered, by lender and workspace. */
  private readonly uncollected = new Map<
    string,
    Map<string, UncollectedLoan>
  >();
  private requests = 0;
  private readonly holders = new TokenHolders();
  private readonly lent = new LoanTotals();
  private readonly borrowed = new LoanTotals();

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCalls,
    private readonly party: LoanParticipant,
  ) {
    this.loans = options.metrics.counter(
      'dogwoodtrestle_loans_total',
      'Tokens lent and borrowed between routers.',
    );
  }

  /**
   * Borrows tokens until this router covers a request; false where no router
   * lends them.
   *
   * @param includesOthers Whether to ask other routers than holders as well, as
   *     where the control processes can't be asked.
   * @param isOver Whether the tokens are no longer needed.
   */
  async borrow(
    {workspace, tokens, request}: TokenDemand,
    includesOthers: boolean,
    isOver: () => boolean,
  ): Promise<boolean> {
    const {clock, logger} = this.options;
    const {grants} = this.party;
    const loanSize = grants.wishFor(workspace, tokens, clock.now());
    const asked: string[] = [];
    for (const lender of this.candidateLenders(workspace, includesOthers)) {
      if (isOver()) return false;
      asked.push(lender);
      const borrowed = await this.ask(lender, workspace, tokens, loanSize);
      // Another question may have brought the tokens meanwhile.
      if (!grants.covers(workspace, tokens, clock.now())) continue;
      logger.info(
        {
          request,
          workspace,
          tokens,
          borrowed,
          available: grants.available(workspace),
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
  lend({address, borrower, workspace, tokens, wished}: LoanRequest): LoanReply {
    const {clock, logger} = this.options;
    const {grants, life} = this.party;
    const before = this.lent.total(address, borrower, workspace);
    const lent =
      tokens > 0 ? grants.lend(workspace, tokens, wished, clock.now()) : 0;
    const total = before + lent;
    if (lent > 0) {
      this.lent.set(address, borrower, workspace, total);
      this.loans.add({direction: 'lent'}, lent);
      logger.debug({workspace, address, lent, total}, 'lent tokens');
    }
    return {lender: life, total};
  }

  /** Asks once more after all loans that were not answered. */
  async collect(): Promise<void> {
    const requests = [...this.uncollected].flatMap(([lender, workspaces]) =>
      [...workspaces.keys()].map(workspace =>
        this.ask(lender, workspace, 0, 0),
      ),
    );
    await Promise.all(requests);
  }

  /** Routers to ask in turn: the holders, then some others. */
  private candidateLenders(
    workspace: string,
    includesOthers: boolean,
  ): string[] {
    const {clock, random, peerAddress} = this.options;
    const now = clock.now();
    const routers = this.party.routers();
    const holders = this.holders.of(workspace, routers);
    const start = Math.floor(random() * routers.length);
    const others = includesOthers
      ? rotated(routers, start).filter(router => !holders.includes(router))
      : [];
    // All start with another holder, so that none is drained first.
    const first = Math.floor(random() * holders.length);
    return [
      ...rotated(holders, first),
      ...others.slice(0, maxNonHolders),
    ].filter(
      router =>
        router !== peerAddress &&
        (this.unansweredUntil.get(router) ?? -Infinity) <= now,
    );
  }

  /** Asks one router; returns the tokens that came of it. */
  private async ask(
    lender: string,
    workspace: string,
    tokens: number,
    wished: number,
  ): Promise<number> {
    const {loanTimeoutMilliseconds, peerAddress} = this.options;
    const requestNumber = ++this.requests;
    const request: LoanRequest = {
      address: peerAddress,
      borrower: this.party.life,
      workspace,
      tokens,
      wished,
    };
    try {
      const reply = await this.calls.call<unknown>(lender, 'lend', request, {
        timeoutMilliseconds: loanTimeoutMilliseconds,
      });
      const loan = checkedMessage('LoanReply', reply);
      this.unansweredUntil.delete(lender);
      const workspaces = this.uncollected.get(lender);
      const failed = workspaces?.get(workspace)?.requestNumber ?? 0;
      if (failed < requestNumber) workspaces?.delete(workspace);
      return this.acceptTotal(lender, workspace, loan);
    } catch (error) {
      const {clock, logger} = this.options;
      const until = clock.now() + unansweredBackoffMilliseconds;
      this.unansweredUntil.set(lender, until);
      logger.info({err: error, lender, workspace}, 'no answer about a loan');
      // Later questions may reach the lender before this one does.
      if (tokens > 0) this.recordUncollected(lender, workspace, this.requests);
      return 0;
    }
  }

  private acceptTotal(
    address: string,
    workspace: string,
    {lender, total}: LoanReply,
  ): number {
    const known = this.borrowed.total(address, lender, workspace);
    if (total <= known) return 0;
    this.borrowed.set(address, lender, workspace, total);
    this.party.grants.borrow(workspace, total - known);
    this.loans.add({direction: 'borrowed'}, total - known);
    return total - known;
  }

  private recordUncollected(
    lender: string,
    workspace: string,
    requestNumber: number,
  ): void {
    const workspaces =
      this.uncollected.get(lender) ?? new Map<string, UncollectedLoan>();
    this.uncollected.set(lender, workspaces);
    const known = workspaces.get(workspace);
    if (known !== undefined) {
      known.requestNumber = requestNumber;
      return;
    }
    const loan = {requestNumber: requestNumber};
    workspaces.set(workspace, loan);
    this.scheduleCollection(lender, workspace, loan);
  }

  /** Asks after a loan until the lender answers, or is no router any more. */
  private scheduleCollection(
    lender: string,
    workspace: string,
    loan: UncollectedLoan,
  ): void {
    const {clock, logger} = this.options;
    clock.setTimer(unansweredBackoffMilliseconds, () => {
      const workspaces = this.uncollected.get(lender);
      if (workspaces?.get(workspace) !== loan) return;
      if (!this.party.routers().includes(lender)) {
        workspaces.delete(workspace);
        logger.info({lender, workspace}, 'a loan may be lost');
        return;
      }
      void this.ask(lender, workspace, 0, 0).then(collected => {
        if (collected > 0) {
          logger.info({lender, workspace, collected}, 'collected a loan');
        }
        this.scheduleCollection(lender, workspace, loan);
      });
    });
  }
}

function rotated<T>(items: readonly T[], start: number): T[] {
  return [...items.slice(start), ...items.slice(0, start)];
}
