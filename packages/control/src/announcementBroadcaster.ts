/**
 * @fileoverview Broadcasts announcements of backend servers to all control
 * processes, so that a new leader knows the servers immediately.
 */
import {isDeparture} from '@dogwoodtrestle/fleet';
import {type Logger, type PeerCallClient} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementBatch,
  type AnnouncementItem,
  type Departure,
} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type DepartureAcknowledger} from './departureAcknowledger.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Result of an announcement of a server. */
export type AnnouncementResult =
  {kind: 'acknowledged'} | {kind: 'unavailable'; reason: string};

/** Whether the receiver leads and has recorded the announcements. */
export interface AnnouncementReply {
  isNoted: boolean;
}

/**
 * Limit of announcements per batch, above which those of serving servers are
 * dropped: they come again.
 */
const maxBatchSize = 500;

/** Batches announcements and sends them to all other members. */
export class AnnouncementBroadcaster {
  private pending: AnnouncementItem[] = [];
  private isScheduled = false;

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'announcementBatchMilliseconds' | 'forwardTimeoutMilliseconds'
    > & {logger: Logger},
    private readonly client: PeerCallClient,
    private readonly group: ReplicaGroup,
    private readonly departures: DepartureAcknowledger,
  ) {}

  /** Adds an announcement to the next batch. */
  add(announcement: AnnouncementItem): void {
    const hasRoom = this.pending.length < maxBatchSize;
    if (hasRoom || isLeaving(announcement)) {
      this.pending.push(announcement);
    } else {
      this.options.logger.warn({announcement}, 'announcement dropped');
    }
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock, announcementBatchMilliseconds} = this.options;
    clock.setTimer(announcementBatchMilliseconds, () => {
      this.isScheduled = false;
      void this.flush(this.group.otherAddresses);
    });
  }

  /**
   * Sends the batch immediately, which has the departure of a server; succeeds
   * once the leader has acknowledged it.
   */
  async flushToLeader(departure: Departure): Promise<AnnouncementResult> {
    const {isLeader, leaderAddress, otherAddresses} = this.group;
    if (!isLeader && leaderAddress === undefined) {
      return {kind: 'unavailable', reason: 'no leader is known'};
    }
    const acknowledgedBy = await this.flush(otherAddresses);
    if (isLeader && !(await this.departures.acknowledge([departure]))) {
      return {kind: 'unavailable', reason: 'no majority recorded it in time'};
    }
    if (isLeader || acknowledgedBy.has(leaderAddress ?? '')) {
      return {kind: 'acknowledged'};
    }
    return {kind: 'unavailable', reason: 'the leader did not confirm it'};
  }

  /** Returns the addresses that had recorded it when the leader replied. */
  private async flush(addresses: string[]): Promise<Set<string>> {
    const batch: AnnouncementBatch = {announcements: this.pending};
    this.pending = [];
    const acknowledgedBy = new Set<string>();
    const leader = this.group.leaderAddress;
    if (batch.announcements.length === 0) return acknowledgedBy;
    const pendingSends = addresses.map(async address => {
      if (await this.send(address, batch)) acknowledgedBy.add(address);
    });
    const leaderSend = pendingSends[addresses.indexOf(leader ?? '')];
    // Undefined on the leader, which doesn't wait for the other members.
    await leaderSend;
    return acknowledgedBy;
  }

  private async send(
    address: string,
    batch: AnnouncementBatch,
  ): Promise<boolean> {
    try {
      const reply = await this.client.call<AnnouncementReply>(
        address,
        'announcements',
        batch,
        {timeoutMilliseconds: this.options.forwardTimeoutMilliseconds},
      );
      return reply.isNoted;
    } catch (error) {
      this.options.logger.debug(
        {err: error, address, count: batch.announcements.length},
        'could not send announcements',
      );
      return false;
    }
  }
}

function isLeaving(announcement: AnnouncementItem): boolean {
  return announcement.kind === 'left' || isDeparture(announcement.record);
}
