/**
 * @fileoverview Fetches entries that an installed snapshot skipped, so that the
 * complete history can be read from every replica.
 */
import {
  type ConsensusReply,
  type Entry,
  type HistoryReply,
  type HistoryRequest,
  type Member,
} from '@dogwoodtrestle/schema';

import {type ReplicaState} from './replicaState.js';
import {type HistoryGap} from './storage.js';
import {encodedLength} from './util/encodedEntry.js';
import {withTimeout} from './util/withTimeout.js';

const retryMilliseconds = 1_000;

/** Fills gaps in the history of one replica. */
export class HistoryBackfill {
  private isRunning = false;
  /** Number of failed requests; each retry goes to the next member. */
  private failedRequests = 0;

  constructor(private readonly state: ReplicaState) {}

  /**
   * Fetches missing entries, with retries, unless that is already in progress.
   */
  start(): void {
    const {isStopped, options} = this.state;
    if (this.isRunning || isStopped) return;
    this.isRunning = true;
    this.run()
      .catch(() => {
        this.failedRequests++;
        options.clock.setTimer(retryMilliseconds, () => this.start());
      })
      .finally(() => {
        this.isRunning = false;
      });
  }

  /** Answers a history request of another replica. */
  async receive({after, limit}: HistoryRequest): Promise<HistoryReply> {
    const {writer, lastApplied, options} = this.state;
    const count = Math.min(limit, options.maxMessageEntries);
    const entries = await writer.enqueue(storage =>
      storage.history(after, count, lastApplied),
    );
    return {
      kind: 'history',
      entries: truncateToBytes(entries, options.maxMessageBytes),
    };
  }

  private async run(): Promise<void> {
    while (!this.state.isStopped) {
      const gap = await this.state.writer.enqueue(storage =>
        storage.historyGap(this.state.snapshotIndex),
      );
      if (gap === undefined) return;
      const entries = await this.fetchEntries(gap);
      await this.state.writer.enqueue(storage => storage.addHistory(entries));
    }
  }

  private async fetchEntries(gap: HistoryGap): Promise<Entry[]> {
    const {id, options} = this.state;
    const member = this.nextMember();
    if (member === undefined) throw new Error('the group has no other member');
    const request: HistoryRequest = {
      kind: 'history',
      from: id,
      to: member.id,
      after: gap.afterIndex,
      limit: Math.min(
        gap.lastIndex - gap.afterIndex,
        options.maxMessageEntries,
      ),
    };
    const {clock, messageTimeoutMilliseconds} = options;
    const reply = await withTimeout(
      options.transport.send(member, request),
      messageTimeoutMilliseconds,
      clock,
    );
    return consecutiveEntries(reply, gap);
  }

  private nextMember(): Member | undefined {
    const {log, id} = this.state;
    const others = log.members.filter(member => member.id !== id);
    return others[this.failedRequests % others.length];
  }
}

/**
 * Returns the entries of a reply; throws unless they start where the gap does.
 */
function consecutiveEntries(reply: ConsensusReply, gap: HistoryGap): Entry[] {
  const entries = reply.kind === 'history' ? reply.entries : [];
  const isConsecutive = entries.every(
    ({index}, position) => index === gap.afterIndex + 1 + position,
  );
  if (entries.length === 0 || !isConsecutive) {
    throw new Error('the member did not return the requested entries');
  }
  return entries;
}

/** Returns the first entries, at most about `maxBytes`, but at least one. */
function truncateToBytes(entries: Entry[], maxBytes: number): Entry[] {
  let bytes = 0;
  const end = entries.findIndex((entry, position) => {
    bytes += encodedLength(entry);
    return bytes > maxBytes && position > 0;
  });
  return end < 0 ? entries : entries.slice(0, end);
}
