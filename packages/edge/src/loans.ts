/**
 * @fileoverview Loans between routers: a workspace's holders lend tokens to
 * other routers, whether or not the control processes are reachable.
 *
 * A request that no single router may lend enough for gets parts from several. A
 * lender whose spending limit forbids a loan that its grant covers has it
 * recorded by the leader first.
 *
 * The lender deducts a loan before it sends the reply. Replies carry totals, so
 * that the next reply makes up for a lost one.
 */
import {
  type HeldGrants,
  type LoanTerms,
  TokenHolders,
} from '@dogwoodtrestle/fleet';
import {
  type Counter,
  type PeerCallClient,
  settledWithin,
} from '@dogwoodtrestle/runtime';
import {
  checkedMessage,
  type LoanReply,
  type LoanRequest,
} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';
import {LoanTotals} from './loanTotals.js';
import {type ReplyCounter} from './replyCounter.js';

/** Time for which a router that did not reply is not asked again. */
const unansweredBackoffMilliseconds = 1_500;

/**
 * Time after which a loan request is given up. The next lender is asked much
 * sooner, but a late reply counts: on a busy link each one is late.
 */
const loanLimitMilliseconds = 2_500;

/**
 * Time for which a lender waits until the leader has recorded a loan; below the
 * time for which the borrower waits for its reply.
 */
const recordTimeoutMilliseconds = 50;

/** Non-holders asked for one loan while no control process is reachable. */
const maxNonHolders = 3;

/** Tokens that a request needs. */
export interface TokenDemand {
  workspace: string;
  /** Number of tokens that the request reserves. */
  tokens: number;
  /** Attempt id of the request, for log entries. */
  request: string;
}

/** The local router, which borrows and lends. */
export interface LoanParticipant {
  /** Returns the name of the router's current incarnation. */
  life: () => string;
  grants: HeldGrants;
  /** Peer addresses of all routers. */
  routers: () => readonly string[];
  /** Whether a leader has replied recently. */
  isConnected: () => boolean;
  /** Reports to the leader; resolves once it has replied or failed to. */
  report: () => Promise<void>;
}

/** A loan request without a reply: the lender may have lent the tokens. */
interface UncollectedLoan {
  /**
   * Number of the newest request when the failure was noticed. Only the reply
   * to a later one is known to include the loan.
   */
  requestNumber: number;
}

/** Borrows tokens from other routers and lends to them. */
export class Loans {
  private readonly loans: Counter;
  private readonly unansweredUntil = new Map<string, number>();
  /** Loan requests without a reply, by lender and workspace. */
  private readonly uncollected = new Map<
    string,
    Map<string, UncollectedLoan>
  >();
  private requests = 0;
  /** Number of loan requests without a reply, by workspace. */
  private readonly pending = new Map<string, number>();
  private readonly holders = new TokenHolders();
  /** Incarnation of this router to which the totals belong. */
  private life?: string;
  private lent = new LoanTotals();
  private borrowed = new LoanTotals();

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCallClient,
    private readonly participant: LoanParticipant,
    private readonly replies: ReplyCounter,
  ) {
    this.loans = options.metrics.counter(
      'dogwoodtrestle_loans_total',
      'Tokens lent and borrowed between routers.',
    );
  }

  /**
   * Borrows tokens until this router can reserve those of a request: from one
   * router if possible, else from several.
   *
   * @param includesOthers Whether to ask routers other than holders as well, as
   *     when the control processes are unreachable.
   * @param isOver Whether the tokens are no longer needed.
   * @returns False if the routers don't lend enough.
   */
  async borrow(
    {workspace, tokens, request}: TokenDemand,
    includesOthers: boolean,
    isOver: () => boolean,
  ): Promise<boolean> {
    const {clock, logger} = this.options;
    const {grants} = this.participant;
    const wished = grants.loanSize(workspace, tokens, clock.now());
    const asked: string[] = [];
    const lenders: string[] = [];
    for (const isPartial of [false, true]) {
      for (const lender of this.candidateLenders(workspace, includesOthers)) {
        if (isOver()) return false;
        const spendable = grants.spendable(workspace, clock.now());
        const missing = Math.max(1, Math.ceil(tokens - spendable));
        const terms = {workspace, tokens: missing, wished, isPartial};
        asked.push(lender);
        const borrowed = await this.askInTime(lender, terms);
        if (borrowed > 0) lenders.push(lender);
        // A concurrent loan may have supplied the tokens.
        if (!grants.canReserve(workspace, tokens, clock.now())) continue;
        const available = grants.available(workspace);
        logger.info(
          {request, workspace, tokens, borrowed, available, lenders},
          'borrowed tokens',
        );
        return true;
      }
    }
    logger.info(
      {request, workspace, tokens, asked, lenders},
      'no router lends enough tokens',
    );
    return false;
  }

  /** Whether a lender may still reply to a request for tokens of a workspace. */
  isPending(workspace: string): boolean {
    return (this.pending.get(workspace) ?? 0) > 0;
  }

  /** Handles another router's loan request. */
  async lend({
    address,
    borrower,
    isPartial = false,
    ...request
  }: LoanRequest): Promise<LoanReply> {
    const {clock, logger} = this.options;
    const {grants} = this.participant;
    const {workspace, tokens} = request;
    const terms = {...request, isPartial};
    if (tokens > 0) await this.record(terms);
    const life = this.enterLife();
    const before = this.lent.total(address, borrower, workspace);
    const lent = tokens > 0 ? grants.lend(terms, clock.now()) : 0;
    const total = before + lent;
    if (lent > 0) {
      this.lent.set(address, borrower, workspace, total);
      this.loans.add({direction: 'lent'}, lent);
      logger.debug({workspace, address, lent, total}, 'lent tokens');
    }
    return {lender: life, total};
  }

  /** Returns the current incarnation, to which no earlier loans belong. */
  private enterLife(): string {
    const life = this.participant.life();
    if (life === this.life) return life;
    this.life = life;
    this.lent = new LoanTotals();
    this.borrowed = new LoanTotals();
    return life;
  }

  /** Has the leader record a loan that the spending limit forbids. */
  private async record(terms: LoanTerms): Promise<void> {
    const {clock} = this.options;
    const {grants, isConnected, report} = this.participant;
    const tokens = grants.unrecordedLoan(terms, clock.now());
    if (tokens === 0 || !isConnected()) return;
    const {workspace} = terms;
    grants.want(workspace, tokens);
    const recorded = report().finally(() => grants.want(workspace, -tokens));
    await new Promise<void>(resolve => {
      const cancel = clock.setTimer(recordTimeoutMilliseconds, resolve);
      void recorded.finally(() => {
        cancel();
        resolve();
      });
    });
  }

  /** Asks once more for all loans without a reply. */
  async collect(): Promise<void> {
    const requests = [...this.uncollected].flatMap(([lender, workspaces]) =>
      [...workspaces.keys()].map(workspace =>
        this.ask(lender, collection(workspace)),
      ),
    );
    await Promise.all(requests);
  }

  /** Returns the routers to ask, in order: holders, then some others. */
  private candidateLenders(
    workspace: string,
    includesOthers: boolean,
  ): string[] {
    const {clock, random, peerAddress} = this.options;
    const now = clock.now();
    const routers = this.participant.routers();
    const holders = this.holders.of(workspace, routers);
    const start = Math.floor(random() * routers.length);
    const others = includesOthers
      ? rotated(routers, start).filter(router => !holders.includes(router))
      : [];
    // A random first holder, so that no holder is exhausted before others.
    const first = Math.floor(random() * holders.length);
    const lenders = [
      ...rotated(holders, first),
      ...others.slice(0, maxNonHolders),
    ].filter(router => router !== peerAddress);
    const prompt = lenders.filter(
      router => (this.unansweredUntil.get(router) ?? -Infinity) <= now,
    );
    // If no reply is in time, the link of this router may be busy, and late
    // replies count.
    return prompt.length > 0 ? prompt : lenders.slice(0, 1);
  }

  /** Asks one router; returns the number of tokens received, 0 if it is late. */
  private async askInTime(lender: string, terms: LoanTerms): Promise<number> {
    const {clock, loanTimeoutMilliseconds} = this.options;
    const {workspace} = terms;
    this.countPending(workspace, 1);
    const reply = this.ask(lender, terms).finally(() =>
      this.countPending(workspace, -1),
    );
    if (await settledWithin(clock, reply, loanTimeoutMilliseconds)) {
      return reply;
    }
    this.avoid(lender);
    return 0;
  }

  private countPending(workspace: string, change: number): void {
    const count = (this.pending.get(workspace) ?? 0) + change;
    if (count === 0) this.pending.delete(workspace);
    else this.pending.set(workspace, count);
  }

  /** Asks others than a lender that has not replied, for a while. */
  private avoid(lender: string): void {
    const until = this.options.clock.now() + unansweredBackoffMilliseconds;
    this.unansweredUntil.set(lender, until);
  }

  /** Asks one router; returns the number of tokens received. */
  private async ask(lender: string, terms: LoanTerms): Promise<number> {
    const {loanTimeoutMilliseconds, peerAddress} = this.options;
    const requestNumber = ++this.requests;
    const {workspace, tokens, wished, isPartial} = terms;
    const borrower = this.enterLife();
    const request: LoanRequest = {
      address: peerAddress,
      borrower,
      workspace,
      tokens,
      wished,
      ...(isPartial && {isPartial}),
    };
    try {
      const call = this.calls.call<unknown>(lender, 'lend', request, {
        timeoutMilliseconds: loanLimitMilliseconds,
      });
      const reply = await this.replies.count(
        'lend',
        call,
        loanTimeoutMilliseconds,
      );
      const loan = checkedMessage('LoanReply', reply);
      this.unansweredUntil.delete(lender);
      const workspaces = this.uncollected.get(lender);
      const failed = workspaces?.get(workspace)?.requestNumber ?? 0;
      if (failed < requestNumber) workspaces?.delete(workspace);
      // A loan to an earlier incarnation ended with it.
      if (borrower !== this.enterLife()) return 0;
      return this.acceptTotal(lender, workspace, loan);
    } catch (error) {
      this.avoid(lender);
      this.options.logger.info(
        {err: error, lender, workspace},
        'loan request failed',
      );
      // Later requests may reach the lender before this one.
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
    this.participant.grants.borrow(workspace, total - known);
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
    const loan = {requestNumber};
    workspaces.set(workspace, loan);
    this.scheduleCollection(lender, workspace, loan);
  }

  /** Asks for a loan until the lender replies or is no longer a router. */
  private scheduleCollection(
    lender: string,
    workspace: string,
    loan: UncollectedLoan,
  ): void {
    const {clock, logger} = this.options;
    clock.setTimer(unansweredBackoffMilliseconds, () => {
      const workspaces = this.uncollected.get(lender);
      if (workspaces?.get(workspace) !== loan) return;
      if (!this.participant.routers().includes(lender)) {
        workspaces.delete(workspace);
        logger.info({lender, workspace}, 'loan may be lost: lender is gone');
        return;
      }
      void this.ask(lender, collection(workspace)).then(collected => {
        if (collected > 0) {
          logger.info({lender, workspace, collected}, 'collected loan');
        }
        this.scheduleCollection(lender, workspace, loan);
      });
    });
  }
}

/** Terms that request only the total of a lender's loans. */
function collection(workspace: string): LoanTerms {
  return {workspace, tokens: 0, wished: 0, isPartial: false};
}

function rotated<T>(items: readonly T[], start: number): T[] {
  return [...items.slice(start), ...items.slice(0, start)];
}
