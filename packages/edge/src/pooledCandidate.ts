/**
 * @fileoverview A backend server with the properties by which one is chosen.
 *
 * Load pattern: each request compares all servers of its service, and most of
 * their properties decide nothing. They are read when the choice asks for them;
 * an object with all of them for each server costs more than the choice.
 */
import {type ServerCandidate} from '@dogwoodtrestle/fleet';

import {type PooledServer, type ServerPool} from './serverPool.js';
import {type SeenLoad, type ServerSpeeds} from './serverSpeeds.js';

/** What the properties of the candidates for one request follow from. */
export interface CandidateSource {
  pool: Pick<ServerPool, 'isSuspect' | 'paceOf'>;
  speeds: Pick<ServerSpeeds, 'loadOf'>;
  /** The last part of the prompt that other requests may share. */
  partId?: string;
  /** Monotonic time of the choice, in milliseconds. */
  now: number;
}

/** A server as a candidate for one request. */
export class PooledCandidate implements ServerCandidate {
  private seenLoad?: SeenLoad;

  constructor(
    readonly server: PooledServer,
    private readonly source: CandidateSource,
  ) {}

  get id(): string {
    return this.server.record.id;
  }

  get idHash(): number {
    return this.server.idHash;
  }

  get capacity(): number {
    return this.server.capacity;
  }

  get isForLongPrompts(): boolean {
    return this.server.isForLongPrompts;
  }

  get failureDomain(): string | undefined {
    return this.server.record.failureDomain;
  }

  get openRequests(): number {
    return this.server.openRequests;
  }

  get unreadTokens(): number {
    return this.server.unreadTokens;
  }

  get slots(): number {
    return this.server.record.slots;
  }

  get isSuspect(): boolean {
    const {pool, now} = this.source;
    return pool.isSuspect(this.server, now);
  }

  get hasCachedPrefix(): boolean {
    const {partId, now} = this.source;
    return partId !== undefined && this.server.hasPart(partId, now);
  }

  get isDue(): boolean {
    return this.server.limit.isDue(this.source.now);
  }

  get pace(): number | undefined {
    return this.source.pool.paceOf(this.server);
  }

  get silentMilliseconds(): number {
    return this.server.silentMilliseconds(this.source.now);
  }

  get otherRequests(): number | undefined {
    return this.load.otherRequests;
  }

  get slowness(): number | undefined {
    return this.load.slowness;
  }

  get refusalShare(): number | undefined {
    return this.load.refusalShare;
  }

  private get load(): SeenLoad {
    const {speeds, now} = this.source;
    this.seenLoad ??= speeds.loadOf(this.server, now);
    return this.seenLoad;
  }
}
