/**
 * @fileoverview Asks routers that lack a change to send a watch call at once: the
 * reply to their last one may be lost or late, or they follow another process.
 */
import {type Logger, type PeerCallClient} from '@dogwoodtrestle/runtime';

import {type ControlOptions} from './controlOptions.js';
import {type KnownRouter, type KnownRouters} from './knownRouters.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Shortest time after a change until a router is asked. */
const firstRefreshMilliseconds = 150;

/** The same, as a multiple of the usual time until a change is confirmed. */
const firstRefreshFactor = 2;

/** Interval at which a router is asked again. */
const refreshIntervalMilliseconds = 300;

/** Routers that are asked at once. */
const maxPendingRefreshes = 16;

/** Timeout of such a call; a router that is gone occupies its place as long. */
const refreshTimeoutMilliseconds = 200;

/** Sends refresh calls while this process leads. */
export class RouterRefresher {
  /** Monotonic time of the last call, in milliseconds. */
  private readonly refreshedAt = new WeakMap<KnownRouter, number>();
  private readonly pending = new Set<KnownRouter>();

  constructor(
    private readonly options: Pick<ControlOptions, 'clock'> & {logger: Logger},
    private readonly client: Pick<PeerCallClient, 'call'>,
    private readonly group: Pick<ReplicaGroup, 'isConfirmedLeader'>,
    private readonly routers: Pick<
      KnownRouters,
      'behind' | 'reportBehind' | 'usualConfirmationMilliseconds'
    >,
  ) {}

  /** Calls the routers that are due, those heard most recently first. */
  refresh(): void {
    if (!this.group.isConfirmedLeader) return;
    this.routers.reportBehind();
    const delay = Math.max(
      firstRefreshMilliseconds,
      firstRefreshFactor * this.routers.usualConfirmationMilliseconds,
    );
    for (const router of this.routers.behind()) {
      if (this.pending.size >= maxPendingRefreshes) return;
      if (this.isDue(router, delay)) void this.call(router);
    }
  }

  private isDue(router: KnownRouter, delay: number): boolean {
    const now = this.options.clock.now();
    const {behindSince = now, delivery} = router;
    const lastTriedAt = Math.max(
      delivery?.endedAt ?? delivery?.startedAt ?? -Infinity,
      this.refreshedAt.get(router) ?? -Infinity,
    );
    return (
      !this.pending.has(router) &&
      now - behindSince >= delay &&
      now - lastTriedAt >= Math.max(refreshIntervalMilliseconds, delay)
    );
  }

  private async call(router: KnownRouter): Promise<void> {
    const {clock, logger} = this.options;
    const {name, address} = router;
    this.pending.add(router);
    this.refreshedAt.set(router, clock.now());
    try {
      await this.client.call(
        address,
        'refresh',
        {},
        {timeoutMilliseconds: refreshTimeoutMilliseconds},
      );
    } catch (error) {
      logger.debug(
        {err: error, router: name, address},
        'could not ask a router to refresh',
      );
    } finally {
      this.pending.delete(router);
    }
  }
}
