/**
 * @fileoverview Spreads announcements of backend servers among the control
 * processes, so that a new leader knows the servers at once.
 */
import {type Logger, type PeerCallClient} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementBatch,
  type AnnouncementItem,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type ControlOptions} from './controlOptions.js';
import {type ServerChangeRecorder} from './serverChangeRecorder.js';

/** What came of an announcement of a server. */
export type AnnouncementResult =
  {kind: 'acknowledged'} | {kind: 'unavailable'; reason: string};

/** Whether the process leads and a majority has the announcements. */
export interface AnnouncementReply {
  isNoted: boolean;
}

/** Announcements that are kept for one call at the most. */
const maxBatch = 500;

/** Gathers announcements and sends them to all other members. */
export class AnnouncementBroadcaster {
  private pending: AnnouncementItem[] = [];
  private isScheduled = false;

  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'announcementBatchMilliseconds' | 'peerTimeoutMilliseconds'
    > & {logger: Logger},
    private readonly calls: PeerCallClient,
    private readonly group: ReplicaGroup,
    private readonly notes: ServerChangeRecorder,
  ) {}

  add(announcement: AnnouncementItem): void {
    if (this.pending.length < maxBatch) this.pending.push(announcement);
    if (this.isScheduled) return;
    this.isScheduled = true;
    const {clock, announcementBatchMilliseconds} = this.options;
    clock.setTimer(announcementBatchMilliseconds, () => {
      this.isScheduled = false;
      void this.flush(this.group.otherAddresses);
    });
  }

  /** Sends everything now; succeeds once the leader has it. */
  async flushToLeader(): Promise<AnnouncementResult> {
    const {isLeader, leaderAddress, otherAddresses} = this.group;
    if (!isLeader && leaderAddress === undefined) {
      return {kind: 'unavailable', reason: 'no leader is known'};
    }
    const reached = await this.flush(otherAddresses);
    if (isLeader && !(await this.isCommitted())) {
      return {kind: 'unavailable', reason: 'no majority noted it in time'};
    }
    if (isLeader || reached.has(leaderAddress ?? '')) {
      return {kind: 'acknowledged'};
    }
    return {kind: 'unavailable', reason: 'the leader did not answer'};
  }

  /** Whether this leader's notes are committed, within a time limit. */
  private async isCommitted(): Promise<boolean> {
    const {clock, peerTimeoutMilliseconds} = this.options;
    const limit = new Promise<boolean>(resolve => {
      clock.setTimer(peerTimeoutMilliseconds, () => resolve(false));
    });
    const confirmed = this.group.replica.barrier().then(
      () => this.notes.flush(),
      () => false,
    );
    return Promise.race([confirmed, limit]);
  }

  /** Returns the addresses that noted it, once the leader's is known. */
  private async flush(addresses: string[]): Promise<Set<string>> {
    const batch: AnnouncementBatch = {announcements: this.pending};
    this.pending = [];
    const reached = new Set<string>();
    const leader = this.group.leaderAddress;
    if (batch.announcements.length === 0) return reached;
    const sends = addresses.map(async address => {
      if (await this.send(address, batch)) reached.add(address);
    });
    const leaderSend = sends[addresses.indexOf(leader ?? '')];
    // A leader itself doesn't wait for the others.
    await leaderSend;
    return reached;
  }

  private async send(
    address: string,
    batch: AnnouncementBatch,
  ): Promise<boolean> {
    try {
      const reply = await this.calls.call<AnnouncementReply>(
        address,
        'announcements',
        batch,
        {timeoutMilliseconds: this.options.peerTimeoutMilliseconds},
      );
      return reply.isNoted;
    } catch (error) {
      this.options.logger.debug(
        {err: error, address, count: batch.announcements.length},
        'announcements were not passed on',
      );
      return false;
    }
  }
}
