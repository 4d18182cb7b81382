/**
 * @fileoverview Paces of the servers that have started or recovered: what starts
 * them, and which servers may get a request by them. Where all candidates are
 * bounded by their pace, any of them may get it: a pace refuses no request.
 */
import {
  type PaceChange,
  type ServerPace,
  type ServerRoom,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** Why a server is given work at a pace. */
export type PaceCause =
  'started' | 'silent' | 'cold' | 'unreachable' | 'ejected' | 'evacuated';

/** A server and its pace at this router. */
export interface PacedServer {
  readonly record: Pick<BackendServerRecord, 'id' | 'service' | 'slots'>;
  readonly openRequests: number;
  readonly pacer: ServerPace;
}

/** An attempt that was sent at a monotonic time, in milliseconds. */
export interface SentAttempt {
  server: PacedServer;
  startedAt: number;
}

/** Options of the paces. */
export interface ServerPacesOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Returns the number of routers that share the servers. */
  routerCount: () => number;
  /** Returns a random number of at least 0 and less than 1. */
  random: () => number;
}

/**
 * Time after the start of a router in which servers that it first hears of have
 * probably been running before.
 */
const discoveryMilliseconds = 5_000;

/** Paces of all servers of a router. */
export class ServerPaces {
  private readonly startedAt: number;
  private readonly changes: Counter;

  constructor(private readonly options: ServerPacesOptions) {
    const {clock, metrics} = options;
    this.startedAt = clock.now();
    this.changes = metrics.counter(
      'dogwoodtrestle_server_pace_changes_total',
      'Changes of the pace of servers that start or recover, by service.',
    );
  }

  /** Starts the pace of a server that this router has just heard of. */
  discover(server: PacedServer): void {
    const age = this.options.clock.now() - this.startedAt;
    if (age >= discoveryMilliseconds) this.start(server, 'started');
  }

  /** Starts the pace of a server that has started or recovered. */
  start(server: PacedServer, cause: PaceCause): void {
    const {pacer, record} = server;
    const wasFull = pacer.isFull;
    pacer.start(this.roomOf(server), this.options.clock.now());
    if (wasFull) this.report(record, 'started', {cause});
  }

  /**
   * Records the beginning of an answer.
   *
   * @param expectedMilliseconds What servers of the service usually take for it.
   */
  recordAnswer(
    {server, startedAt: sentAt}: SentAttempt,
    expectedMilliseconds: number | undefined,
  ): void {
    const {pacer, record} = server;
    if (pacer.isFull) return;
    const now = this.options.clock.now();
    const answer = {sentAt, milliseconds: now - sentAt, expectedMilliseconds};
    const change = pacer.recordAnswer(answer, this.roomOf(server), now);
    if (change !== undefined) this.report(record, change, answer);
  }

  /** Records a refusal or a failure. */
  recordFailure(server: PacedServer): void {
    const now = this.options.clock.now();
    const change = server.pacer.recordFailure(this.roomOf(server), now);
    if (change !== undefined) this.report(server.record, change, {});
  }

  /** Returns the servers that their pace lets have a request, or all. */
  prefer<T extends PacedServer>(servers: T[]): T[] {
    if (servers.every(({pacer}) => pacer.isFull)) return servers;
    const {random} = this.options;
    const admitted = servers.filter(
      ({pacer, openRequests}) =>
        pacer.isFull || pacer.admits(openRequests, random()),
    );
    return admitted.length > 0 ? admitted : servers;
  }

  /** Returns the part of its full load that a server should get; undefined for 1. */
  part(server: PacedServer): number | undefined {
    const {pacer} = server;
    return pacer.isFull ? undefined : pacer.part(this.roomOf(server));
  }

  private roomOf({record: {slots}}: PacedServer): ServerRoom {
    return {slots, routers: this.options.routerCount()};
  }

  private report(
    {id: server, service}: PacedServer['record'],
    change: PaceChange | 'started',
    details: object,
  ): void {
    this.changes.add({service, change});
    if (change === 'slowed') return;
    this.options.logger.info(
      {server, service, ...details},
      change === 'full'
        ? 'backend server gets its full load'
        : 'backend server gets work at a pace',
    );
  }
}
