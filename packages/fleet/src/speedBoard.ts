/**
 * @fileoverview The leader's view of the speed and load of all servers, from the
 * reports of all routers.
 *
 * Load pattern: each of many routers sends a server one request in some seconds,
 * so none of them knows its speed or its load; all of them together do.
 *
 * It lives in memory only. A new leader starts with an empty one.
 */
import {
  type ServerObservation,
  type SpeedValues,
  type SpeedReport,
} from '@dogwoodtrestle/schema';

import {
  addSums,
  DecayingSums,
  emptySums,
  fitResponseModel,
  refusalShareOf,
  type ResponseModel,
  slownessOf,
  type SpeedSums,
} from './serverSpeeds.js';
import {encodeSights, type SpeedView} from './speedView.js';
import {keyOf, readSums} from './speedSamples.js';

/** Options of the board. Times are in milliseconds. */
export interface SpeedBoardOptions {
  /** Least time between two views. */
  viewInterval: number;
  /** Time after which a router that sends no report is gone. */
  routerTimeout: number;
  /** Time after which a server without a report is forgotten. */
  serverTimeout: number;
  /** Time constant with which the load follows the reports. */
  loadDecay: number;
  /** Time constant with which the capacity follows the speed. */
  capacityDecay: number;
}

/** Default options. */
export const defaultSpeedBoardOptions: SpeedBoardOptions = {
  viewInterval: 250,
  routerTimeout: 4_000,
  serverTimeout: 60_000,
  loadDecay: 1_000,
  capacityDecay: 6_000,
};

/** Capacities are told in steps, this many for each doubling. */
export const capacityStepsPerDoubling = 8;

/**
 * Steps by which a capacity must have changed before it is told: a step moves
 * prefixes to other servers, which read them again.
 */
const capacityHysteresis = 0.75;

/** Limit of the capacity and of its inverse, as a power of two. */
const maxCapacityDoublings = 2;

/** Most servers on the board. */
const maxServers = 5_000;

/** Names that are kept although their servers are gone, as a share of the rest. */
const maxGoneShare = 1;

/** A router's last report. */
interface RouterReport {
  sequence: number;
  batch: number;
  at: number;
  open: ReadonlyMap<string, number>;
}

/** What is known of one incarnation of a server. */
interface BoardServer {
  service: string;
  /** Position in the list of names. */
  index: number;
  sums: DecayingSums;
  /** Sum of what the routers' last reports say. */
  open: number;
  /** The same, smoothed. */
  load: number;
  /** Logarithms to the base 2. */
  capacity: number;
  toldCapacity: number;
  heardAt: number;
}

/** Joins the reports of routers. */
export class SpeedBoard {
  private readonly options: SpeedBoardOptions;
  private readonly routers = new Map<string, RouterReport>();
  private readonly servers = new Map<string, BoardServer>();
  private names: string[] = [];
  private lists = 0;
  private builtAt = -Infinity;
  private values?: SpeedValues;

  /** @param id Differs between leaders. */
  constructor(
    private readonly id: string,
    options: Partial<SpeedBoardOptions> = {},
  ) {
    this.options = {...defaultSpeedBoardOptions, ...options};
  }

  /** Number of servers that are known. */
  get size(): number {
    return this.servers.size;
  }

  /** Records a report. One that is late or doubled changes nothing. */
  record(router: string, report: SpeedReport, now: number): void {
    const known = this.routers.get(router);
    const {sequence, batch} = report;
    if (known !== undefined && sequence <= known.sequence) return;
    const isNewBatch = known === undefined || batch > known.batch;
    const open = new Map<string, number>();
    for (const observation of report.servers) {
      const server = this.serverOf(observation, now);
      if (server === undefined) continue;
      server.heardAt = now;
      const {openRequests, sums} = observation;
      if (openRequests > 0) open.set(keyOf(observation), openRequests);
      if (isNewBatch && sums !== undefined) {
        server.sums.add(readSums(sums), now);
      }
    }
    if (known !== undefined) this.addOpen(known.open, -1);
    this.addOpen(open, 1);
    const newest = Math.max(batch, known?.batch ?? batch);
    this.routers.set(router, {sequence, batch: newest, at: now, open});
  }

  /**
   * Returns the newest view; undefined if it is the one that the router has.
   *
   * @param position The names that the router has.
   */
  notice(
    {list, names = 0}: Pick<SpeedReport, 'list' | 'names'>,
    now: number,
  ): SpeedView | undefined {
    this.refresh(now);
    const {values: speedValues} = this;
    if (speedValues === undefined || this.servers.size === 0) return undefined;
    const from = list === this.listId ? Math.min(names, this.names.length) : 0;
    const speeds = {
      list: this.listId,
      from,
      names: this.names.slice(from),
      ageMilliseconds: Math.max(0, Math.round(now - this.builtAt)),
    };
    return {speeds, speedValues};
  }

  private get listId(): string {
    return `${this.id}/${this.lists}`;
  }

  private serverOf(
    observation: ServerObservation,
    now: number,
  ): BoardServer | undefined {
    const key = keyOf(observation);
    const known = this.servers.get(key);
    if (known !== undefined) return known;
    if (this.servers.size >= maxServers) return undefined;
    const server: BoardServer = {
      service: observation.service,
      index: this.names.push(key) - 1,
      sums: new DecayingSums(),
      open: 0,
      load: 0,
      capacity: 0,
      toldCapacity: 0,
      heardAt: now,
    };
    this.servers.set(key, server);
    return server;
  }

  private addOpen(open: ReadonlyMap<string, number>, sign: 1 | -1): void {
    for (const [key, count] of open) {
      const server = this.servers.get(key);
      if (server !== undefined) server.open += sign * count;
    }
  }

  private refresh(now: number): void {
    const elapsed = now - this.builtAt;
    if (elapsed < this.options.viewInterval) return;
    this.builtAt = now;
    this.removeGone(now);
    const models = this.fitModels(now);
    for (const server of this.servers.values()) {
      this.refreshServer(server, models.get(server.service)!, elapsed, now);
    }
    const list = [...this.servers.values()].map(server => ({
      index: server.index,
      slowness: slownessOf(server.sums.at(now), models.get(server.service)!),
      capacity: 2 ** server.toldCapacity,
      openRequests: server.load,
      refusalShare: refusalShareOf(server.sums.at(now)),
    }));
    this.values = {
      values: encodeSights(list, this.names.length),
      models: [...models].map(([service, model]) => ({service, ...model})),
    };
  }

  private fitModels(now: number): Map<string, ResponseModel> {
    const totals = new Map<string, SpeedSums>();
    for (const {service, sums} of this.servers.values()) {
      const total = totals.get(service) ?? emptySums();
      addSums(total, sums.at(now));
      totals.set(service, total);
    }
    return new Map(
      [...totals].map(([service, sums]) => [service, fitResponseModel(sums)]),
    );
  }

  private refreshServer(
    server: BoardServer,
    model: ResponseModel,
    elapsed: number,
    now: number,
  ): void {
    const {loadDecay, capacityDecay} = this.options;
    server.load +=
      (server.open - server.load) * weightAfter(elapsed, loadDecay);
    const speed = -Math.log2(slownessOf(server.sums.at(now), model));
    server.capacity +=
      (speed - server.capacity) * weightAfter(elapsed, capacityDecay);
    const capacity = Math.min(
      maxCapacityDoublings,
      Math.max(-maxCapacityDoublings, server.capacity),
    );
    const step = 1 / capacityStepsPerDoubling;
    const change = Math.abs(capacity - server.toldCapacity);
    if (change < step * capacityHysteresis) return;
    server.toldCapacity = Math.round(capacity / step) * step;
  }

  /** Forgets routers and servers that no report has named for long. */
  private removeGone(now: number): void {
    const {routerTimeout, serverTimeout} = this.options;
    for (const [router, report] of this.routers) {
      if (now - report.at < routerTimeout) continue;
      this.addOpen(report.open, -1);
      // Its numbers are kept, as a late report may arrive.
      if (now - report.at < serverTimeout) report.open = new Map();
      else this.routers.delete(router);
    }
    for (const [key, {heardAt}] of this.servers) {
      if (now - heardAt >= serverTimeout) this.servers.delete(key);
    }
    const gone = this.names.length - this.servers.size;
    if (gone > maxGoneShare * this.servers.size) this.renumber();
  }

  private renumber(): void {
    this.lists++;
    this.names = [];
    for (const [key, server] of this.servers) {
      server.index = this.names.push(key) - 1;
    }
  }
}

/** Returns the weight of new values in an average after some time. */
function weightAfter(elapsed: number, decayMilliseconds: number): number {
  return 1 - Math.exp(-elapsed / decayMilliseconds);
}
