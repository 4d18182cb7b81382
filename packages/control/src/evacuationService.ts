/**
 * @fileoverview Handles operators' orders to evacuate failure domains. An order
 * is acknowledged by the leader once a majority has recorded it, and the routers
 * that are heard have it or a limited time has passed.
 *
 * An order takes effect in the order of the log, and only while its caller waits.
 * A process that stood still may read one after its caller has given the opposite
 * order elsewhere, so it gives none whose caller has left. As it may also stand
 * still later, an order names the evacuations that the process which received it knows, and that
 * process gives it again if they have changed meanwhile.
 */
import {
  type EvacuationOutcome,
  type FleetState,
  isFailureDomainName,
} from '@dogwoodtrestle/fleet';
import {
  type Counter,
  type MetricsRegistry,
  waitForPendingClose,
} from '@dogwoodtrestle/runtime';
import {
  type Evacuations,
  type FinishEvacuation,
  type StartEvacuation,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type KnownRouters} from './knownRouters.js';
import {type LeaderCalls, type Unavailable} from './leaderCalls.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** An operator's order. */
export interface EvacuationOrder {
  kind: 'start' | 'finish';
  failureDomain: string;
  /** Who gave it; empty if unknown. */
  requestedBy: string;
}

/** Result of an order. */
export type EvacuationResult =
  | {kind: 'acknowledged'; outcome: EvacuationOutcome}
  /** Another order came first; it has no effect. */
  | {kind: 'superseded'; revision: number}
  | {kind: 'invalidName'}
  | {kind: 'unknownDomain'}
  | {kind: 'tooMany'}
  | Unavailable;

/** An order, with the revision that the process which has it knows. */
export interface ForwardedOrder extends EvacuationOrder {
  seenRevision: number;
}

type EvacuationOptions = Pick<
  ControlOptions,
  | 'clock'
  | 'logger'
  | 'instance'
  | 'failureDomain'
  | 'failureDomains'
  | 'forwardTimeoutMilliseconds'
> & {metrics: MetricsRegistry};

/** Longest time for which an acknowledgement waits until routers know. */
const routerWaitMilliseconds = 300;

/** Time after which it waits no more, from the receipt of an order. */
const waitLimitMilliseconds = 600;

const commandKinds = {
  start: 'startEvacuation',
  finish: 'finishEvacuation',
} as const satisfies Record<
  EvacuationOrder['kind'],
  (StartEvacuation | FinishEvacuation)['kind']
>;

/** Handles the orders that reach one process. */
export class EvacuationService {
  private readonly orders: Counter;

  constructor(
    private readonly options: EvacuationOptions,
    private readonly calls: Pick<LeaderCalls, 'run'>,
    private readonly group: Pick<ReplicaGroup, 'replica' | 'isConfirmedLeader'>,
    private readonly state: Pick<FleetState, 'evacuations' | 'backendServers'>,
    private readonly routers: Pick<KnownRouters, 'waitUntilApplied'>,
  ) {
    this.orders = options.metrics.counter(
      'dogwoodtrestle_evacuation_orders_total',
      'Orders to evacuate a failure domain or to end that, by order and outcome.',
    );
  }

  /** The evacuations in the state of this replica. */
  get evacuations(): Evacuations {
    return this.state.evacuations;
  }

  /** Handles an operator's order, for as long as its caller waits. */
  async order(
    order: EvacuationOrder,
    hasCallerLeft: () => boolean = () => false,
  ): Promise<EvacuationResult> {
    const {clock, logger} = this.options;
    const receivedAt = clock.now();
    const result: EvacuationResult = isFailureDomainName(order.failureDomain)
      ? await this.giveToLeader(order, hasCallerLeft)
      : {kind: 'invalidName'};
    const effect =
      result.kind === 'acknowledged' ? result.outcome.kind : result.kind;
    this.orders.add({order: order.kind, outcome: effect});
    const elapsedMilliseconds = Math.round(clock.now() - receivedAt);
    logger.info({order, result, elapsedMilliseconds}, 'evacuation ordered');
    return result;
  }

  /**
   * Proposes an order; only the leader can. Resolves once the routers have it, or
   * a limited time has passed.
   */
  async propose({
    kind,
    failureDomain,
    requestedBy,
    seenRevision,
  }: ForwardedOrder): Promise<EvacuationResult> {
    if (!this.isKnown(failureDomain)) return this.refuseUnknown();
    const {clock} = this.options;
    const receivedAt = clock.now();
    const command = {
      kind: commandKinds[kind],
      failureDomain,
      requestedBy,
      seenRevision,
    };
    try {
      const [result] = await this.group.replica.propose([command]);
      const outcome = result as EvacuationOutcome;
      const {kind: effect, revision} = outcome;
      if (effect === 'superseded') return {kind: effect, revision};
      if (effect === 'tooMany') return {kind: effect};
      await this.routers.waitUntilApplied(
        {evacuationRevision: revision},
        Math.min(
          routerWaitMilliseconds,
          receivedAt + waitLimitMilliseconds - clock.now(),
        ),
      );
      return {kind: 'acknowledged', outcome};
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }

  /** Gives an order to the leader, again if another one came first. */
  private async giveToLeader(
    order: EvacuationOrder,
    hasCallerLeft: () => boolean,
  ): Promise<EvacuationResult> {
    const {clock, forwardTimeoutMilliseconds} = this.options;
    const deadline = clock.now() + forwardTimeoutMilliseconds;
    // The monotonic clock doesn't count the time of a suspension.
    const wallDeadline = clock.wallNow() + forwardTimeoutMilliseconds;
    const isOver = () =>
      clock.now() >= deadline ||
      clock.wallNow() >= wallDeadline ||
      hasCallerLeft();
    await waitForPendingClose();
    if (isOver()) return {kind: 'unavailable', reason: 'the caller has left'};
    let seenRevision = this.state.evacuations.revision;
    for (;;) {
      const forwarded: ForwardedOrder = {...order, seenRevision};
      const result = await this.calls.run<EvacuationResult>(
        () => this.propose(forwarded),
        'orderEvacuation',
        forwarded,
        deadline - clock.now(),
      );
      if (result.kind !== 'superseded') return result;
      if (isOver()) return result;
      seenRevision = result.revision;
    }
  }

  /** A leader that lacks a part of the log may lack the servers of a domain. */
  private refuseUnknown(): EvacuationResult {
    if (this.group.isConfirmedLeader) return {kind: 'unknownDomain'};
    return {kind: 'unavailable', reason: 'the leader is not confirmed yet'};
  }

  /**
   * Whether a failure domain exists. All do where no list of them is configured,
   * as a domain may have no servers or be out of reach.
   */
  private isKnown(failureDomain: string): boolean {
    const configured = this.options.failureDomains();
    if (configured === undefined) return true;
    if (configured.includes(failureDomain)) return true;
    if (this.options.failureDomain === failureDomain) return true;
    const {evacuations} = this.state.evacuations;
    if (evacuations.some(one => one.failureDomain === failureDomain)) {
      return true;
    }
    const servers = [...this.state.backendServers.values()];
    return servers.some(server => server.failureDomain === failureDomain);
  }
}
