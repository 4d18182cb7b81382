/**
 * @fileoverview A fleet in virtual time whose control processes have the processor
 * and the link of the users' machines: what a large change, or many changes, take
 * of one leader.
 */
import {seededRandom} from '../util/random.js';
import {type ControlProcess, startControlProcess} from './controlProcess.js';
import {
  type ConfigurationSize,
  LargeConfigurations,
} from './largeConfigurations.js';
import {MachineCapacity, type MachineSize} from './machineCapacity.js';
import {MemoryDisk} from './memoryStorage.js';
import {RouterProcess} from './routerProcess.js';
import {type OutsideWorld, putConfiguration, ServerLife} from './serverLife.js';
import {VirtualMachine, VirtualScheduler} from './virtualMachine.js';
import {VirtualNetwork} from './virtualNetwork.js';

/** Options of a fleet. */
export interface LoadedFleetOptions {
  seed: number;
  routers: number;
  servers: number;
  configuration: ConfigurationSize;
  controlSize: MachineSize;
  /** A router; requests take the rest of its processor and link. */
  routerSize: MachineSize;
}

/** The users' largest deployment. */
export const defaultLoadedFleetOptions: LoadedFleetOptions = {
  seed: 1,
  routers: 195,
  servers: 93,
  configuration: {routes: 245, workspaces: 40},
  controlSize: {cores: 0.81, linkMegabitsPerSecond: 170},
  routerSize: {cores: 0.16, linkMegabitsPerSecond: 5},
};

/** How a version spread. Times are in milliseconds. */
export interface SpreadVersion {
  version: number;
  /** When it was acknowledged, or the disruption before it was over. */
  since: number;
  /** Time until the slowest router had it; Infinity if one never had. */
  slowestMilliseconds: number;
}

/** What became of the changes. */
export interface SpreadOutcome {
  versions: SpreadVersion[];
  /** Number of changes that were not acknowledged. */
  unacknowledged: number;
  /** Terms that began after the start. */
  terms: number;
  /** Megabytes that the control processes sent. */
  sentMegabytes: number;
  /** Calls that were handled. */
  calls: number;
}

interface Disruption {
  from: number;
  until: number;
}

const coreSize = 5;
const networkMilliseconds = 1.5;
const syncMilliseconds = 1;
const snapshotEveryEntries = 3_000;
const putMilliseconds = 6_000;
const startMilliseconds = 4_000;
const sampleMilliseconds = 10;

/** Interval at which requests use tokens of a workspace at each router. */
const usageMilliseconds = 300;
const bytesPerMegabyte = 1e6;

/** Control processes, routers, servers and an operator. */
export class LoadedFleet {
  private readonly options: LoadedFleetOptions;
  private readonly scheduler = new VirtualScheduler();
  private readonly random: () => number;
  private readonly network: VirtualNetwork;
  private readonly configurations: LargeConfigurations;
  private readonly world: OutsideWorld;
  private readonly core: VirtualMachine[];
  private readonly routerMachines: VirtualMachine[];
  private readonly controls = new Map<VirtualMachine, ControlProcess>();
  private readonly routers: RouterProcess[] = [];
  private readonly disruptions: Disruption[] = [];
  private readonly acknowledgedAt = new Map<number, number>();
  /** By router: when it had each version, or a newer one. */
  private readonly arrivals: Array<Array<{version: number; at: number}>> = [];
  private unacknowledged = 0;
  private firstTerm = 0;

  private constructor(input: Partial<LoadedFleetOptions>) {
    const options = {...defaultLoadedFleetOptions, ...input};
    this.options = options;
    const random = seededRandom(options.seed);
    this.random = random;
    const {scheduler} = this;
    this.network = new VirtualNetwork(scheduler, random, networkMilliseconds);
    this.configurations = new LargeConfigurations(
      random,
      options.configuration,
    );
    this.core = this.createMachines('core', coreSize, options.controlSize);
    this.routerMachines = this.createMachines(
      'router',
      options.routers,
      options.routerSize,
    );
    const [outside] = this.createMachines('outside', 1);
    const clock = outside!.start();
    const calls = this.network.clientOf(outside!, 1);
    const addresses = this.core.map(({address}) => address);
    this.world = {clock, calls, random, addresses};
  }

  /** Plays a day with a fleet that runs and has a configuration. */
  static async play(
    input: Partial<LoadedFleetOptions>,
    day: (fleet: LoadedFleet) => Promise<void>,
  ): Promise<SpreadOutcome> {
    const {random: systemRandom} = Math;
    const fleet = new LoadedFleet(input);
    // The replica group draws its election timeouts from it.
    Math.random = seededRandom(fleet.options.seed);
    try {
      await fleet.start();
      await day(fleet);
      return fleet.outcome();
    } finally {
      Math.random = systemRandom;
    }
  }

  /** Lets time pass. */
  async advance(milliseconds: number): Promise<void> {
    await this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Sends the next version, which adds some routes. */
  change(addedRoutes = 0): void {
    const configuration = this.configurations.next(addedRoutes);
    const {version} = configuration;
    const {scheduler} = this;
    const sentAt = scheduler.now;
    void putConfiguration(this.world, configuration, putMilliseconds).then(
      isInForce => {
        if (isInForce) this.acknowledgedAt.set(version, scheduler.now);
        // One that a higher version overtook ends sooner.
        else if (scheduler.now - sentAt >= putMilliseconds) {
          this.unacknowledged++;
        }
      },
    );
  }

  /** Sends versions at an interval. */
  async changeAtIntervals(
    count: number,
    intervalMilliseconds: number,
  ): Promise<void> {
    for (let sent = 0; sent < count; sent++) {
      this.change();
      await this.advance(intervalMilliseconds);
    }
  }

  /** Freezes the leader for a time, and lets time pass until another one leads. */
  freezeLeader(milliseconds: number): void {
    const {scheduler} = this;
    const leader =
      this.core.find(machine => this.leads(machine)) ??
      this.core.find(machine => this.controls.get(machine)?.group.isLeader) ??
      this.core[0]!;
    leader.freeze();
    const disruption = {from: scheduler.now, until: Infinity};
    this.disruptions.push(disruption);
    scheduler.after(milliseconds, () => leader.thaw());
    const check = () => {
      const isReplaced = this.core.some(
        machine => machine !== leader && this.leads(machine),
      );
      if (isReplaced) disruption.until = scheduler.now;
      else scheduler.after(sampleMilliseconds, check);
    };
    check();
  }

  /** Cuts all routers off from the control processes for a time. */
  cutRouters(milliseconds: number): void {
    const {scheduler, network} = this;
    const {now} = scheduler;
    this.disruptions.push({from: now, until: now + milliseconds});
    const paths = this.routerMachines.flatMap(router =>
      this.core.map(control => [router, control] as const),
    );
    for (const [router, control] of paths) network.cut(router, control);
    scheduler.after(milliseconds, () => {
      for (const [router, control] of paths) network.join(router, control);
    });
  }

  private createMachines(
    name: string,
    count: number,
    size?: MachineSize,
  ): VirtualMachine[] {
    const {scheduler, network} = this;
    return Array.from({length: count}, (_, index) => {
      const machine = new VirtualMachine(`${name}-${index}:1`, scheduler);
      if (size !== undefined) {
        machine.capacity = new MachineCapacity(scheduler, size);
      }
      network.add(machine);
      return machine;
    });
  }

  private async start(): Promise<void> {
    const {world, network, core, routerMachines, random, options} = this;
    const seeds = [...world.addresses];
    for (const machine of core) {
      const disk = new MemoryDisk(`disk-${machine.address}`, syncMilliseconds);
      const settings = {seeds, snapshotEveryEntries};
      void startControlProcess(machine, disk, network, settings).then(control =>
        this.controls.set(machine, control),
      );
    }
    for (const machine of routerMachines) {
      this.routers.push(new RouterProcess(machine, network, seeds, random));
      this.arrivals.push([]);
    }
    for (let index = 0; index < options.servers; index++) {
      void new ServerLife(`server-${index}`, 'base', world).run();
    }
    this.sampleAtIntervals();
    this.useWorkspaces();
    this.change();
    await this.advance(startMilliseconds);
    await sleepUntilAll(this, () =>
      this.routers.every(({version}) => version >= 1),
    );
    this.firstTerm = this.newestTerm;
    for (const {capacity} of core) capacity!.sentBytes = 0;
  }

  /** Lets each router report tokens as often as it may. */
  private useWorkspaces(): void {
    const {scheduler, random, configurations} = this;
    const names = configurations.workspaceNames;
    for (const router of this.routers) {
      router.useWorkspace(names[Math.floor(random() * names.length)] ?? '');
    }
    scheduler.after(usageMilliseconds, () => this.useWorkspaces());
  }

  private leads(machine: VirtualMachine): boolean {
    if (machine.isFrozen || !machine.isRunning) return false;
    return this.controls.get(machine)?.group.isConfirmedLeader === true;
  }

  private get newestTerm(): number {
    const terms = [...this.controls.values()].map(({group}) => group.term);
    return Math.max(0, ...terms);
  }

  private sampleAtIntervals(): void {
    const {scheduler} = this;
    scheduler.after(sampleMilliseconds, () => {
      this.routers.forEach(({version}, index) => {
        const arrivals = this.arrivals[index]!;
        if (version === (arrivals.at(-1)?.version ?? 0)) return;
        arrivals.push({version, at: scheduler.now});
      });
      this.sampleAtIntervals();
    });
  }

  private outcome(): SpreadOutcome {
    const versions = [...this.acknowledgedAt]
      .filter(([version]) => version > 1)
      .sort(([a], [b]) => a - b)
      .map(([version, at]) => this.spreadOf(version, at));
    const sentBytes = this.core.reduce(
      (sum, {capacity}) => sum + capacity!.sentBytes,
      0,
    );
    return {
      versions,
      unacknowledged: this.unacknowledged,
      terms: this.newestTerm - this.firstTerm,
      sentMegabytes: Math.round(sentBytes / bytesPerMegabyte),
      calls: this.network.calls,
    };
  }

  private spreadOf(version: number, acknowledgedAt: number): SpreadVersion {
    const slowestAt = Math.max(
      ...this.arrivals.map(
        arrivals =>
          arrivals.find(arrival => arrival.version >= version)?.at ?? Infinity,
      ),
    );
    const since = Math.max(
      acknowledgedAt,
      ...this.disruptions
        .filter(({from, until}) => slowestAt > from && acknowledgedAt < until)
        .map(({until}) => until),
    );
    const slowestMilliseconds = Math.max(0, slowestAt - since);
    return {version, since, slowestMilliseconds};
  }
}

/** Interval and limit of a wait for a condition. */
const waitMilliseconds = 100;
const maxWaits = 100;

async function sleepUntilAll(
  fleet: LoadedFleet,
  isDone: () => boolean,
): Promise<void> {
  for (let waits = 0; waits < maxWaits && !isDone(); waits++) {
    await fleet.advance(waitMilliseconds);
  }
  if (!isDone()) throw new Error('the fleet has not started');
}
