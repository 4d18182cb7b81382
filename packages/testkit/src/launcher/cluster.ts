/**
 * @fileoverview Runs a cluster on loopback: daemons, stand-in backend servers
 * and relays. Each daemon has its own loopback address. {@link Cluster.stop}
 * stops everything that was started, also after a failure.
 */
import {randomBytes} from 'node:crypto';
import {existsSync} from 'node:fs';
import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {type LinkState, Relay} from '../relay.js';
import {type StandInOptions} from '../standIn/options.js';
import {isFree} from './freePort.js';
import {ManagedProcess, type ProcessExit} from './managedProcess.js';
import {type DaemonPlan, formatSettings} from './settings.js';

/** Options of a cluster. */
export interface ClusterOptions {
  routers: number;
  /** Number of instances, counted from the first, that hold a ledger replica. */
  replicas: number;
  failureDomains: string[];
  /** First three octets of the instances' addresses. */
  network: string;
  /** Whether peer connections between instances pass through relays. */
  relays: boolean;
  /** Caller port of every instance. */
  callerPort: number;
  /**
   * Existing folder for data, keys and logs. By default a temporary folder,
   * which is removed when the cluster stops.
   */
  folder?: string;
  /** Additional settings of every daemon, merged by section. */
  settings: Record<string, Record<string, unknown>>;
  readyTimeoutMilliseconds: number;
  stopTimeoutMilliseconds: number;
}

/**
 * Ports of a cluster. They are below the kernel's ephemeral port range, so that
 * no outgoing connection takes the port of a process that restarts.
 */
const ports = {
  caller: 20_080,
  peer: 20_081,
  relay: 20_082,
  firstStandIn: 20_100,
} as const;

/** Defaults of {@link ClusterOptions}. */
export const defaultClusterOptions: ClusterOptions = {
  routers: 3,
  replicas: 3,
  failureDomains: ['a', 'b', 'c', 'd'],
  network: `127.${100 + (process.pid % 100)}.${process.pid % 250}`,
  relays: false,
  callerPort: ports.caller,
  settings: {},
  readyTimeoutMilliseconds: 15_000,
  stopTimeoutMilliseconds: 40_000,
};

/** One daemon: its plan, and its latest process if it was ever started. */
export interface DaemonInstance {
  plan: DaemonPlan;
  url: string;
  process?: ManagedProcess;
}

/** A stand-in backend server that runs in its own process. */
export interface StandInProcess {
  name: string;
  url: string;
  options: Partial<StandInOptions> & {kind: 'model' | 'service'};
  process: ManagedProcess;
}

const daemonScript = fileURLToPath(
  new URL('../../../daemon/bin/dogwoodtrestled.js', import.meta.url),
);
const standInScript = fileURLToPath(
  new URL('../standInMain.js', import.meta.url),
);

/** A cluster of daemons and stand-ins. */
export class Cluster {
  readonly daemons = new Map<string, DaemonInstance>();
  readonly standIns = new Map<string, StandInProcess>();
  private readonly relays = new Map<string, Relay>();
  private readonly processes: ManagedProcess[] = [];

  private constructor(
    readonly options: ClusterOptions,
    readonly folder: string,
    readonly operatorKey: string,
    readonly backendKey: string,
  ) {}

  /**
   * Writes keys and settings, and starts the relays but no daemons.
   *
   * @throws If a port is in use or `options.folder` does not exist.
   */
  static async create(options: Partial<ClusterOptions>): Promise<Cluster> {
    const clusterOptions = {...defaultClusterOptions, ...options};
    const folder = await resolveFolder(clusterOptions.folder);
    const generateKey = () => randomBytes(24).toString('base64url');
    const cluster = new Cluster(
      clusterOptions,
      folder,
      generateKey(),
      generateKey(),
    );
    await writeFile(cluster.file('cluster.key'), generateKey(), {mode: 0o600});
    await writeFile(cluster.file('operator.key'), cluster.operatorKey, {
      mode: 0o600,
    });
    await writeFile(cluster.file('backend.key'), cluster.backendKey, {
      mode: 0o600,
    });
    const plans: DaemonPlan[] = [];
    for (let number = 1; number <= clusterOptions.routers; number++) {
      plans.push(await cluster.createPlan(number));
    }
    for (const plan of plans) await cluster.prepare(plan, plans);
    return cluster;
  }

  /** Starts all daemons and waits until they are ready. */
  async startAll(): Promise<void> {
    const names = [...this.daemons.keys()];
    await Promise.all(names.map(name => this.start(name)));
  }

  /** Starts one daemon without waiting until it is ready. */
  launch(name: string): void {
    const instance = this.daemon(name);
    instance.process = this.trackProcess(
      ManagedProcess.start({
        name,
        command: [daemonScript, '--settings', this.file(`${name}.yaml`)],
        logFile: this.file(`${name}.log`),
        readyTimeoutMilliseconds: this.options.readyTimeoutMilliseconds,
      }),
    );
  }

  /** Starts one daemon and waits until it is ready. */
  async start(name: string): Promise<void> {
    this.launch(name);
    await this.daemon(name).process?.ready();
  }

  /** Kills a daemon with SIGKILL. */
  async kill(name: string): Promise<void> {
    await this.daemon(name).process?.kill();
  }

  /** Stops a daemon with SIGTERM; kills it after the stop timeout. */
  async terminate(name: string): Promise<ProcessExit> {
    const {process} = this.daemon(name);
    if (process === undefined) throw new Error(`${name} was never started`);
    return process.terminate(this.options.stopTimeoutMilliseconds);
  }

  /** Empties the data folder of a daemon, which must not be running. */
  async loseDisk(name: string): Promise<void> {
    const {dataFolder} = this.daemon(name).plan;
    if (dataFolder === undefined) return;
    await rm(dataFolder, {recursive: true, force: true});
    await mkdir(dataFolder, {recursive: true});
  }

  /** Starts a stand-in, which announces itself to all daemons. */
  async startStandIn(
    options: Partial<StandInOptions> & {
      kind: 'model' | 'service';
      name: string;
    },
  ): Promise<StandInProcess> {
    const {name} = options;
    const previous = this.standIns.get(name);
    const standInOptions = {
      host: `${this.options.network}.1`,
      routers: [...this.daemons.values()].map(each => each.url),
      key: this.backendKey,
      recordFile: this.file(`${name}.jsonl`),
      port: ports.firstStandIn + this.standIns.size,
      ...options,
      // A restarted server keeps its port.
      ...(previous === undefined ? {} : {port: previous.options.port}),
    };
    const process = this.trackProcess(
      ManagedProcess.start({
        name,
        command: [standInScript, JSON.stringify(standInOptions)],
        logFile: this.file(`${name}.log`),
        readyTimeoutMilliseconds: this.options.readyTimeoutMilliseconds,
      }),
    );
    const {url} = (await process.ready()) as {url: string};
    const standIn = {name, url, options: standInOptions, process};
    this.standIns.set(name, standIn);
    return standIn;
  }

  /** Sets the state of all links between two groups of daemons, both ways. */
  setLinks(
    left: readonly string[],
    right: readonly string[],
    state: Partial<LinkState>,
  ): void {
    for (const from of left) {
      for (const to of right) {
        this.setLink(from, to, state);
        this.setLink(to, from, state);
      }
    }
  }

  /**
   * Sets the state of the link for connections that one daemon opens to another.
   *
   * @throws If the cluster runs without relays.
   */
  setLink(from: string, to: string, state: Partial<LinkState>): void {
    const relay = this.relays.get(to);
    if (relay === undefined) throw new Error(`no relay in front of ${to}`);
    relay.setLink(this.daemon(from).plan.address, state);
  }

  /** Kills all processes, stops the relays and removes a temporary folder. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map(each => each.kill()));
    await Promise.all([...this.relays.values()].map(each => each.stop()));
    if (this.options.folder === undefined) {
      await rm(this.folder, {recursive: true, force: true});
    }
  }

  /** Path of a file in the cluster's folder. */
  file(name: string): string {
    return path.join(this.folder, name);
  }

  /**
   * Returns a daemon by name.
   *
   * @throws If the cluster has no such daemon.
   */
  daemon(name: string): DaemonInstance {
    const instance = this.daemons.get(name);
    if (instance === undefined) throw new Error(`no daemon named '${name}'`);
    return instance;
  }

  private trackProcess(process: ManagedProcess): ManagedProcess {
    this.processes.push(process);
    return process;
  }

  private async createPlan(number: number): Promise<DaemonPlan> {
    const {network, failureDomains, replicas, relays} = this.options;
    const name = `r${number}`;
    const address = `${network}.${number}`;
    const {callerPort} = this.options;
    const advertisedPeerPort = relays ? ports.relay : ports.peer;
    for (const port of [callerPort, ports.peer, advertisedPeerPort]) {
      if (await isFree(address, port)) continue;
      throw new Error(
        `port ${port} of ${address} is taken; stop what listens there`,
      );
    }
    return {
      name,
      address,
      failureDomain: failureDomains[(number - 1) % failureDomains.length] ?? '',
      callerPort,
      peerPort: ports.peer,
      advertisedPeerPort,
      ...(number <= replicas ? {dataFolder: this.file(`${name}-data`)} : {}),
    };
  }

  private async prepare(
    plan: DaemonPlan,
    plans: readonly DaemonPlan[],
  ): Promise<void> {
    const {name, address, callerPort, dataFolder} = plan;
    if (dataFolder !== undefined) await mkdir(dataFolder, {recursive: true});
    await writeFile(
      this.file(`${name}.yaml`),
      formatSettings(this.folder, plan, plans, this.options.settings),
    );
    this.daemons.set(name, {plan, url: `http://${address}:${callerPort}`});
    if (!this.options.relays) return;
    const relay = new Relay({
      host: address,
      port: plan.advertisedPeerPort,
      targetPort: plan.peerPort,
    });
    await relay.start();
    this.relays.set(name, relay);
  }
}

async function resolveFolder(folder: string | undefined): Promise<string> {
  if (folder === undefined) {
    return mkdtemp(path.join(os.tmpdir(), 'dogwoodtrestle-'));
  }
  if (!existsSync(folder)) throw new Error(`folder ${folder} does not exist`);
  return folder;
}
