/**
 * @fileoverview An in-memory fleet: routers that report and lend, and the
 * leader's recorded state. Tests choose which messages are lost.
 */
import {
  emptyPrepaidState,
  GrantPlanner,
  HeldGrants,
  type PrepaidState,
  recordUsage,
  type Reservation,
  ungranted,
  type WorkspaceSummary,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  MetricsRegistry,
  type PeerCallClient,
  silentLogger,
} from '@dogwoodtrestle/runtime';
import {type LoanReply, type LoanRequest} from '@dogwoodtrestle/schema';

import {defaultEdgeOptions, type EdgeOptions} from '../../src/edgeOptions.js';
import {Loans} from '../../src/loans.js';
import {ReplyCounter} from '../../src/replyCounter.js';

/** The fleet's only workspace. */
export const workspace = 'desk';

/** Delivery of a loan request and its reply. */
export type LoanDelivery = 'delivered' | 'requestLost' | 'replyLost';

/** One incarnation of a router. */
export interface MemoryRouter {
  address: string;
  id: string;
  grants: HeldGrants;
  loans: Loans;
  startedAt: number;
}

/** A clock that tests advance. */
export interface ManualClock extends Clock {
  advance(milliseconds: number): void;
}

function createManualClock(): ManualClock {
  let now = 1_000;
  let timers: Array<{at: number; run: () => void}> = [];
  return {
    now: () => now,
    wallNow: () => now,
    setTimer: (milliseconds, run) => {
      const timer = {at: now + milliseconds, run};
      timers.push(timer);
      return () => {
        timers = timers.filter(one => one !== timer);
      };
    },
    advance: milliseconds => {
      now += milliseconds;
      const due = timers.filter(({at}) => at <= now);
      timers = timers.filter(({at}) => at > now);
      for (const {run} of due) run();
    },
  };
}

/** A fleet of the routers `router-0`, `router-1` and so on. */
export class MemoryFleet {
  readonly clock = createManualClock();
  readonly book: PrepaidState = emptyPrepaidState();
  readonly routers: MemoryRouter[];
  delivery: LoanDelivery = 'delivered';
  /** Whether routers can report to the leader while they lend. */
  isLeaderReachable = false;
  private readonly addresses: string[];
  private readonly planner: GrantPlanner;
  private lives = 0;
  private bootCount = 0;

  constructor(
    count: number,
    readonly prepaid: number,
  ) {
    this.addresses = Array.from({length: count}, (_, n) => `router-${n}`);
    const state = {prepaid: this.book, prepaidOf: () => prepaid};
    this.planner = new GrantPlanner(state, () => this.addresses);
    this.routers = this.addresses.map(address => this.start(address));
  }

  /** Tokens that the leader may grant. */
  get ungranted(): number {
    return ungranted(this.book.accounts[workspace], this.prepaid);
  }

  /** Summary of the workspace's tokens in the leader's state. */
  summary(): WorkspaceSummary {
    return this.planner.summaryOf(workspace);
  }

  /** Reports a router's usage and accepts the grants in the reply. */
  report(router: MemoryRouter, {isStopping = false, grantUpTo = 0} = {}): void {
    const {grants, id, address, startedAt} = router;
    const now = this.clock.now();
    const {usages, reportedAt} = grants.report(true, now);
    this.planner.recordReport(id, usages, now);
    const plans = usages.map(usage =>
      this.planner.plan({router: id, address}, usage, isStopping),
    );
    const reading = {clock: 'leader', steady: now, wall: now};
    const clock = `boot-${this.bootCount}`;
    const {outcomes} = recordUsage(
      this.book,
      {
        kind: 'recordUsage',
        router: id,
        life: {instance: address, clock, startedAt, wallStartedAt: startedAt},
        reportedAt,
        reportedWallAt: now,
        leaderTime: reading,
        recordedAt: reading,
        entries: plans.map(({entry}) => ({
          ...entry,
          grantUpTo: Math.max(entry.grantUpTo, grantUpTo),
        })),
      },
      () => this.prepaid,
      now,
    );
    if (this.book.routers[id]?.isOver === true) grants.supersede();
    grants.confirm(reportedAt);
    outcomes.forEach(({granted}, index) => {
      // Keeps the grant, even if there is no demand for it.
      const target = Math.max(plans[index]?.target ?? 0, grantUpTo);
      const remaining = this.planner.remaining(workspace);
      grants.accept({workspace, granted, target, remaining}, now);
    });
  }

  /** Grants tokens to a router. */
  fund(router: MemoryRouter, tokens: number): void {
    router.grants.want(workspace, 1);
    this.report(router, {grantUpTo: tokens});
    router.grants.want(workspace, -1);
    this.report(router, {grantUpTo: tokens});
    // A process that doesn't read its clock counts as suspended, so the spending
    // limit stays as it is.
    this.clock.advance(5_000);
  }

  /** Lets a router run until its spending limit allows to use its whole grant. */
  run(router: MemoryRouter): void {
    for (let step = 0; step < 10; step++) {
      this.clock.advance(500);
      router.grants.tick(this.clock.now());
    }
  }

  /** Borrows tokens for a request; returns whether it got them. */
  borrow(router: MemoryRouter, tokens: number): Promise<boolean> {
    const need = {workspace, tokens, request: 'request'};
    return router.loans.borrow(need, true, () => false);
  }

  /** Reserves and uses all tokens of a request. */
  use(router: MemoryRouter, tokens: number): void {
    const reservation = this.reserve(router, tokens);
    router.grants.settle(reservation, tokens);
  }

  /**
   * Reserves tokens.
   *
   * @throws If the grant is too small.
   */
  reserve({grants}: MemoryRouter, tokens: number): Reservation {
    const reservation = grants.reserve(workspace, tokens, this.clock.now());
    if (reservation === undefined) throw new Error('the grant is too small');
    return reservation;
  }

  /** Shuts a router down: it returns its tokens and reports its stop. */
  stop(router: MemoryRouter): void {
    router.grants.close();
    this.report(router, {isStopping: true});
    this.report(router, {isStopping: true});
  }

  /** Starts another incarnation of an instance; the old one keeps running. */
  replace(router: MemoryRouter): MemoryRouter {
    const next = this.start(router.address);
    this.routers[this.routers.indexOf(router)] = next;
    return next;
  }

  /** Uses all tokens that a router may use without contact to the leader. */
  spendAll(router: MemoryRouter): number {
    let spent = 0;
    for (let tokens = this.prepaid; tokens >= 1; tokens /= 2) {
      const part = Math.floor(tokens);
      const now = this.clock.now();
      if (!router.grants.canReserve(workspace, part, now)) continue;
      this.use(router, part);
      spent += part;
    }
    return spent;
  }

  /** Restarts all routers after a power failure of some time. */
  restartAll(milliseconds: number): void {
    this.clock.advance(milliseconds);
    this.bootCount++;
    this.routers.forEach(({address}, index) => {
      this.routers[index] = this.start(address);
    });
    for (const router of this.routers) this.report(router);
  }

  private start(address: string): MemoryRouter {
    const {clock} = this;
    const grants = new HeldGrants();
    const options: EdgeOptions = {
      ...defaultEdgeOptions,
      instance: address,
      failureDomain: 'domain-1',
      callerAddress: '',
      peerAddress: address,
      seeds: () => [],
      codec: {
        decodeRequest: () => undefined,
        encodeRequest: () => [],
        decodeResponse: () => {
          throw new Error('no response is decoded here');
        },
      },
      logger: silentLogger,
      metrics: new MetricsRegistry(),
      clock,
      random: () => 0,
    };
    const id = `${address}/${this.lives++}`;
    const participant = {
      life: () => id,
      grants,
      routers: () => this.addresses,
      isConnected: () => this.isLeaderReachable,
      report: async () => this.report(router),
    };
    const replies = new ReplyCounter(options);
    const loans = new Loans(options, this.calls(), participant, replies);
    const startedAt = Math.floor(clock.now());
    const router: MemoryRouter = {address, id, grants, loans, startedAt};
    return router;
  }

  private calls(): PeerCallClient {
    const call = async (
      address: string,
      _method: string,
      request: LoanRequest,
    ): Promise<LoanReply> => {
      const lender = this.routers.find(router => router.address === address);
      if (lender === undefined || this.delivery === 'requestLost') {
        throw new Error('the request was lost');
      }
      const reply = await lender.loans.lend(request);
      if (this.delivery === 'replyLost') throw new Error('the reply was lost');
      return reply;
    };
    return {call} as unknown as PeerCallClient;
  }
}
