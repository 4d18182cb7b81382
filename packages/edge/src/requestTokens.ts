/**
 * @fileoverview The tokens of one request: reserved before it is sent, settled
 * once when it has ended.
 */
import {type Reservation} from '@dogwoodtrestle/fleet';

import {type EdgeContext} from './edgeContext.js';
import {type RefusalReason} from './refusal.js';
import {type RoutedRequest} from './routedRequest.js';
import {
  reserveTokens,
  type TokenShortage,
  tokensToReserve,
} from './tokenReservation.js';
import {usedTokens} from './usedTokens.js';

/** What is known of a request when its tokens are settled. */
export interface RequestProgress {
  /** Whether a server may have executed it. */
  mayHaveRun: boolean;
  /** Complete events that arrived. */
  events: number;
}

/** Reserves and settles the tokens of one request. */
export class RequestTokens {
  private reservation?: Reservation;
  private lastShortage?: TokenShortage;

  constructor(
    private readonly context: EdgeContext,
    private readonly input: RoutedRequest,
  ) {}

  /** Whether tokens are reserved, or were until they were settled. */
  get isReserved(): boolean {
    return this.reservation !== undefined;
  }

  /** Where the tokens are that the request lacks; undefined if it lacks none. */
  get shortage(): TokenShortage | undefined {
    return this.lastShortage;
  }

  /** Reserves the request's maximum cost; returns why it could not. */
  async reserve(isOver: () => boolean): Promise<RefusalReason | undefined> {
    const demand = tokensToReserve(this.input);
    if (demand === undefined) return undefined;
    const result = await reserveTokens(this.context, demand, isOver);
    if ('refusal' in result) {
      this.lastShortage = result.shortage;
      return result.refusal;
    }
    this.reservation = result.reservation;
    return undefined;
  }

  /** Records the tokens of the events that have arrived, and of the prompt. */
  recordEvents(events: number): void {
    const used = this.usedBy({mayHaveRun: true, events});
    if (this.reservation === undefined || used === undefined) return;
    this.context.grants.recordUse(this.reservation, used);
  }

  /** Settles the reservation; returns the tokens used. */
  settle(progress: RequestProgress): number | undefined {
    const used = this.usedBy(progress);
    if (this.reservation === undefined || used === undefined) return undefined;
    this.context.grants.settle(this.reservation, used);
    return used;
  }

  private usedBy(progress: RequestProgress): number | undefined {
    const {request, service} = this.input;
    const {generation} = request;
    if (generation === undefined) return undefined;
    const engine = this.context.routes()?.service(service)?.engine;
    const {tokensPerEvent} = engine ?? {};
    return usedTokens({generation, ...progress, tokensPerEvent});
  }
}
