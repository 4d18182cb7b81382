/**
 * @fileoverview One incarnation of a backend server as this router knows it: its
 * record, open requests, limits and what it was sent.
 */
import {
  CircuitBreaker,
  ServerPace,
  hashName,
  type ServerLimit,
} from '@dogwoodtrestle/fleet';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

import {type ServerConnections} from './serverConnections.js';

/** Time for which a prompt part sent to a server counts as cached there. */
const partCacheMilliseconds = 10_000;

/** Maximum number of prompt parts remembered per server. */
const maxRememberedParts = 2_000;

/** One incarnation of a backend server. */
export class PooledServer {
  openRequests = 0;
  /** Prompt tokens of open requests without a first event. */
  unreadTokens = 0;
  /** Monotonic time of the last byte, in milliseconds. */
  lastByteAt = -Infinity;
  /** Monotonic time since which no list has named it, in milliseconds. */
  unlistedAt = Infinity;
  /** Monotonic time at which its failure domain's evacuation ended. */
  returnedAt = -Infinity;
  /** Time at which it got its first open request or last finished one. */
  waitingSince = Infinity;
  readonly bar = new CircuitBreaker();
  readonly pacer = new ServerPace();
  /** Prompt parts by id, with the time at which each was last sent. */
  readonly parts = new Map<string, number>();
  readonly idHash: number;
  /** Speed relative to the service's mean, in the leader's view; or 1. */
  capacity = 1;
  isForLongPrompts = false;

  constructor(
    public record: BackendServerRecord,
    readonly connections: ServerConnections,
    readonly limit: ServerLimit,
  ) {
    this.idHash = hashName(record.id);
  }

  get id(): string {
    return this.record.id;
  }

  /** Records that an attempt is sent. */
  begin(attempt: object, promptTokens: number, now: number): void {
    if (this.openRequests === 0) this.waitingSince = now;
    this.openRequests++;
    this.unreadTokens += promptTokens;
    this.bar.begin(attempt, now);
  }

  /** Records that an attempt has ended, and its tokens that were not read. */
  end(attempt: object, unreadTokens: number, now: number): void {
    this.openRequests--;
    this.limit.cold.end(attempt);
    this.waitingSince = this.openRequests === 0 ? Infinity : now;
    this.unreadTokens -= unreadTokens;
  }

  /** Records that a prompt part is sent; forgets the oldest above the limit. */
  recordPart(id: string, now: number): void {
    this.parts.delete(id);
    this.parts.set(id, now);
    if (this.parts.size <= maxRememberedParts) return;
    const [oldest] = this.parts.keys();
    if (oldest !== undefined) this.parts.delete(oldest);
  }

  /** Whether the server probably has a prompt part in its cache. */
  hasPart(id: string, now: number): boolean {
    return now - (this.parts.get(id) ?? -Infinity) < partCacheMilliseconds;
  }

  /** Whether it has open requests and sent no byte for `milliseconds`. */
  isSilent(now: number, milliseconds: number): boolean {
    return this.silentMilliseconds(now) > milliseconds;
  }

  /** Returns for how long it has sent no byte though requests are open; or 0. */
  silentMilliseconds(now: number): number {
    if (this.openRequests === 0) return 0;
    return now - Math.max(this.lastByteAt, this.waitingSince);
  }
}
