/**
 * @fileoverview Loans between routers that can't reach the control processes.
 *
 * Each router holds what it uses itself, so in a long partition one runs out
 * while others have plenty. What is lent is spent in the lender's books before
 * the reply is sent; a reply that is lost costs tokens, and never adds any.
 */
import {type HeldGrants} from '@dogwoodtrestle/fleet';
import {type Counter, type PeerCalls} from '@dogwoodtrestle/runtime';
import {type LoanReply, type LoanRequest} from '@dogwoodtrestle/schema';

import {type EdgeOptions} from './edgeOptions.js';

/** Tokens asked for beyond those of the request, as a factor. */
const askedFactor = 2;

/** Routers that are asked for one request at the most. */
const maxAsked = 3;

/** Asks other routers for tokens, and answers them. */
export class Loans {
  private readonly loans: Counter;

  constructor(
    private readonly options: EdgeOptions,
    private readonly calls: PeerCalls,
    private readonly grants: HeldGrants,
    private readonly peers: () => readonly string[],
  ) {
    this.loans = options.metrics.counter(
      'dogwoodtrestle_loans_total',
      'Tokens lent and borrowed between routers.',
    );
  }

  /** Borrows until some tokens may be reserved; false where nobody has them. */
  async borrow(workspace: string, tokens: number): Promise<boolean> {
    const {clock, random, logger} = this.options;
    const peers = [...this.peers()];
    const start = Math.floor(random() * peers.length);
    let borrowed = 0;
    for (let asked = 0; asked < Math.min(maxAsked, peers.length); asked++) {
      const peer = peers[(start + asked) % peers.length] ?? '';
      borrowed += await this.ask(peer, workspace, tokens * askedFactor);
      if (borrowed >= tokens) break;
    }
    this.grants.borrow(workspace, borrowed);
    this.loans.add({direction: 'borrowed'}, borrowed);
    logger.info(
      {workspace, tokens, borrowed, at: Math.round(clock.now())},
      'asked other routers for tokens',
    );
    return borrowed >= tokens;
  }

  /** Answers another router. */
  lend({workspace, tokens}: LoanRequest): LoanReply {
    const {clock, logger} = this.options;
    const lent = this.grants.lend(workspace, tokens, clock.now());
    this.loans.add({direction: 'lent'}, lent);
    logger.info({workspace, tokens, lent}, 'lent tokens to another router');
    return {tokens: lent};
  }

  private async ask(
    peer: string,
    workspace: string,
    tokens: number,
  ): Promise<number> {
    try {
      const reply = await this.calls.call<LoanReply>(
        peer,
        'lend',
        {workspace, tokens} satisfies LoanRequest,
        {timeoutMilliseconds: this.options.loanTimeoutMilliseconds},
      );
      return reply.tokens;
    } catch (error) {
      this.options.logger.debug({err: error, peer}, 'no answer about a loan');
      return 0;
    }
  }
}
