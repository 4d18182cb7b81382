/**
 * @fileoverview The routers that follow this leader, and which versions of the
 * state each of them has applied, by its watch requests.
 */
import {
  type CallContext,
  type Clock,
  type Histogram,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {type LeaderView, type WatchRequest} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';

/** Versions of the state that routers copy. */
export type StateVersions = Pick<
  LeaderView,
  'configurationVersion' | 'epoch' | 'revision' | 'evacuationRevision'
>;

/** A reply with changes to a router. Times are monotonic, in milliseconds. */
export interface Delivery {
  readonly call: CallContext;
  readonly startedAt: number;
  /** Versions that the router had. */
  base: StateVersions;
  /** Versions that it has with these changes. */
  sent: StateVersions;
  /** When the reply was handed over, or its connection has ended. */
  endedAt?: number;
}

/** A router that sent a watch request recently. Times are in milliseconds. */
export interface KnownRouter {
  /** Name of its incarnation. */
  readonly name: string;
  readonly address: string;
  /** Versions that it had when it sent its last request. */
  applied: StateVersions;
  heardAt: number;
  /** The last reply with changes. */
  delivery?: Delivery;
  /** Since when it has made no progress and lacks a change. */
  behindSince?: number;
  /** Value of `behindSince` that was logged, until it has caught up. */
  reportedSince?: number;
  /** Whether another incarnation sends requests from its address. */
  hasEnded: boolean;
}

/** Options of the known routers. */
export interface KnownRoutersOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  routerLostAfterMilliseconds: number;
}

/** Time without progress after which a router that is behind is logged. */
const reportBehindMilliseconds = 1_000;

/**
 * Time without a request after which no acknowledgement waits for a router: a
 * long poll and its delay.
 */
const awaitedMilliseconds = 1_200;

/**
 * Time in a term for which the routers aren't all known yet: the longest pause
 * between their calls, and the time in which they find the leader.
 */
const discoveryMilliseconds = 1_700;

/** Number of confirmations of which the usual time is taken. */
const sampledConfirmations = 31;

/** Waits until routers have applied a change. */
interface ChangeWaiter {
  target: Partial<StateVersions>;
  resume: () => void;
}

const nothingApplied: StateVersions = {
  configurationVersion: 0,
  epoch: '',
  revision: 0,
};

/** Routers by the name of their incarnation. */
export class KnownRouters {
  private readonly routers = new Map<string, KnownRouter>();
  private readonly waiters = new Set<ChangeWaiter>();
  private readonly confirmations: Histogram;
  private readonly behindRouters: Counter;
  /** Times of the newest confirmations. */
  private recentConfirmations: number[] = [];
  private term?: number;
  private termSince = 0;
  /** What routers have to apply without delay. */
  private required: StateVersions = nothingApplied;

  private sortedAddresses: readonly string[] = [];
  private revision = 0;

  /** @param group Tells the term; its first calls come soon after it begins. */
  constructor(
    private readonly options: KnownRoutersOptions,
    private readonly group: Pick<ReplicaGroup, 'term'>,
  ) {
    const {metrics} = options;
    this.confirmations = metrics.histogram(
      'dogwoodtrestle_change_confirmation_milliseconds',
      'Time until a router has confirmed a change of configuration or servers.',
    );
    this.behindRouters = metrics.counter(
      'dogwoodtrestle_routers_behind_total',
      'Routers that lacked a change for longer than a second.',
    );
  }

  /** Number of routers. */
  get count(): number {
    return this.routers.size;
  }

  /** Peer addresses, sorted; the same list until they change. */
  get addresses(): readonly string[] {
    return this.sortedAddresses;
  }

  /** Increases when the addresses change. */
  get addressesRevision(): number {
    return this.revision;
  }

  /** Whether all live routers have had the time to call in this term. */
  get isComplete(): boolean {
    this.enterTerm();
    return this.options.clock.now() - this.termSince >= discoveryMilliseconds;
  }

  /** Median time until a router has confirmed a change; 0 if it is unknown. */
  get usualConfirmationMilliseconds(): number {
    const times = [...this.recentConfirmations].sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)] ?? 0;
  }

  /** Number of routers that lack a change. */
  get behindCount(): number {
    return this.behind().length;
  }

  /**
   * Sets the versions that routers should have: the configuration, the
   * evacuations, and the directory with its newest departure. Other records may
   * reach them later.
   */
  update(required: StateVersions): void {
    this.enterTerm();
    this.required = required;
    const now = this.options.clock.now();
    for (const router of this.routers.values()) this.compare(router, now);
  }

  /** Records a watch request. */
  record(request: WatchRequest): KnownRouter {
    this.enterTerm();
    const now = this.options.clock.now();
    const known = this.routers.get(request.router);
    const applied = versionsOf(request);
    const isSameRouter = known?.address === request.address;
    const router = isSameRouter ? known : this.add(request, applied, now);
    router.heardAt = now;
    // A late report of its predecessor may have come after its own request.
    router.hasEnded = false;
    const isProgress = !hasApplied(router.applied, applied);
    if (isProgress) router.applied = applied;
    this.removeLost(now);
    this.compare(router, now);
    // It is not stuck, even if it lacks newer changes.
    const isBehind = router.behindSince !== undefined;
    if (isProgress && isBehind) router.behindSince = now;
    this.resumeWaiters(now);
    return router;
  }

  /** Notes a router that sent another call; what it has applied is unknown. */
  note({router, address}: Pick<WatchRequest, 'router' | 'address'>): void {
    const now = this.options.clock.now();
    const known = this.routers.get(router);
    if (known?.address === address) known.heardAt = now;
    else this.compare(this.add({router, address}, nothingApplied, now), now);
  }

  /** Returns the routers that lack a change, those heard most recently first. */
  behind(): KnownRouter[] {
    this.removeLost(this.options.clock.now());
    return [...this.routers.values()]
      .filter(router => router.behindSince !== undefined && !router.hasEnded)
      .sort((a, b) => b.heardAt - a.heardAt);
  }

  /** Logs routers that have been behind for long. */
  reportBehind(): void {
    const {clock, logger} = this.options;
    for (const router of this.behind()) {
      const {name, address, applied, heardAt, behindSince = 0} = router;
      const milliseconds = Math.round(clock.now() - behindSince);
      if (router.reportedSince !== undefined) continue;
      if (milliseconds < reportBehindMilliseconds) continue;
      router.reportedSince = behindSince;
      this.behindRouters.add();
      logger.warn(
        {
          router: name,
          address,
          applied,
          required: this.required,
          behindMilliseconds: milliseconds,
          silentMilliseconds: Math.round(clock.now() - heardAt),
          routersBehind: this.behindCount,
        },
        'router lacks a change',
      );
    }
  }

  /**
   * Resolves once all routers heard of recently have applied a change, or after
   * a time.
   */
  waitUntilApplied(
    target: Partial<StateVersions>,
    milliseconds: number,
  ): Promise<void> {
    const {clock} = this.options;
    if (this.isApplied(target, clock.now())) return Promise.resolve();
    return new Promise(resolve => {
      const resume = () => {
        cancel();
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter = {target, resume};
      const cancel = clock.setTimer(milliseconds, resume);
      this.waiters.add(waiter);
    });
  }

  private add(
    {router, address}: Pick<WatchRequest, 'router' | 'address'>,
    applied: StateVersions,
    now: number,
  ): KnownRouter {
    for (const other of this.routers.values()) {
      if (other.address === address) other.hasEnded = true;
    }
    const added: KnownRouter = {
      name: router,
      address,
      applied,
      heardAt: now,
      hasEnded: false,
    };
    this.routers.set(router, added);
    this.updateAddresses();
    return added;
  }

  private enterTerm(): void {
    const {term} = this.group;
    if (term === this.term) return;
    this.term = term;
    this.termSince = this.options.clock.now();
  }

  private removeLost(now: number): void {
    let isChanged = false;
    for (const [name, {heardAt}] of this.routers) {
      if (now - heardAt <= this.options.routerLostAfterMilliseconds) continue;
      this.routers.delete(name);
      isChanged = true;
    }
    if (isChanged) this.updateAddresses();
  }

  private updateAddresses(): void {
    const addresses = [...this.routers.values()].map(({address}) => address);
    this.sortedAddresses = [...new Set(addresses)].sort();
    this.revision++;
  }

  private compare(router: KnownRouter, now: number): void {
    if (!hasApplied(router.applied, this.required)) {
      router.behindSince ??= now;
      return;
    }
    const {name, address, applied, behindSince, reportedSince} = router;
    if (behindSince !== undefined) {
      this.confirmations.observe(now - behindSince);
      this.recentConfirmations.push(now - behindSince);
      if (this.recentConfirmations.length > sampledConfirmations) {
        this.recentConfirmations.shift();
      }
    }
    router.behindSince = undefined;
    if (reportedSince === undefined) return;
    router.reportedSince = undefined;
    this.options.logger.info(
      {
        router: name,
        address,
        applied,
        behindMilliseconds: Math.round(now - reportedSince),
      },
      'router has caught up',
    );
  }

  private isApplied(target: Partial<StateVersions>, now: number): boolean {
    if (!this.isComplete) return false;
    for (const {applied, heardAt, hasEnded} of this.routers.values()) {
      const isAwaited = !hasEnded && now - heardAt <= awaitedMilliseconds;
      if (isAwaited && !hasApplied(applied, target)) return false;
    }
    return true;
  }

  private resumeWaiters(now: number): void {
    for (const {target, resume} of this.waiters) {
      if (this.isApplied(target, now)) resume();
    }
  }
}

/** Returns the versions that a router had when it sent a request. */
export function versionsOf({
  configurationVersion,
  epoch,
  revision,
  evacuationRevision = 0,
}: WatchRequest): StateVersions {
  return {configurationVersion, epoch, revision, evacuationRevision};
}

/** Whether a router with some versions has the given ones or newer ones. */
function hasApplied(
  applied: StateVersions,
  target: Partial<StateVersions>,
): boolean {
  const {configurationVersion = 0, epoch, revision = 0} = target;
  const {evacuationRevision = 0} = target;
  if (applied.configurationVersion < configurationVersion) return false;
  if ((applied.evacuationRevision ?? 0) < evacuationRevision) return false;
  if (epoch === undefined) return true;
  return applied.epoch === epoch && applied.revision >= revision;
}
