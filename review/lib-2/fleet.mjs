/**
 * @fileoverview A small deployment for the review's scripts: the project's own
 * processes, each on a loopback address of its own, an operator and clients.
 *
 * Processes are started with the commands of the deploy file, and get settings in
 * the format of the platform's pages.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {sleep};

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Ports of the processes; each machine has a loopback address of its own. */
const ports = {front: 8227, ready: 8220, control: 8229, peer: 7340};

/** Values of a small deployment, as in the example of the deploy page. */
const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  acknowledgeMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configurationMs: 2000,
  downgradeMs: 250,
  outerBoundMs: 5000,
  strictRevocation: false,
  revocationMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  recoveryS: 12,
  passMs: 120,
  reuseWindowS: 10,
  settle_ms: 1500,
};

/** Returns the words of the `run` entry of a role in the deploy file. */
function commandOf(role) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [, run = ''] = /^run = "(.*)"$/m.exec(section) ?? [];
  if (run === '') throw new CannotRun(`deploy/system.toml has no ${role}`);
  return run.split(' ');
}

/** The case can't run here; nothing is shown. */
export class CannotRun extends Error {}

/** What was sent, answered and run, with the time since the start. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    writeFileSync(file, '');
  }

  write(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.file, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** One machine with one process of the system. */
export class Machine {
  constructor(fleet, name, duty, host) {
    this.fleet = fleet;
    this.name = name;
    this.duty = duty;
    this.host = host;
    this.folder = path.join(fleet.folder, name);
    mkdirSync(path.join(this.folder, 'data'), {recursive: true});
  }

  get pid() {
    return this.process?.pid;
  }

  get isRunning() {
    const {process: child} = this;
    if (child === undefined) return false;
    return child.exitCode === null && child.signalCode === null;
  }

  /** Starts the process; `bootstrap` is true at the first start of the fleet. */
  start({bootstrap = false, seeds = this.fleet.seeds} = {}) {
    const file = path.join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(this.settings(bootstrap, seeds)));
    const role = this.duty === 'control' ? 'ledger' : 'router';
    const [program, ...words] = commandOf(role);
    const log = path.join(this.folder, 'output.txt');
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          DOGWOODTRESTLE_BOOT: file,
        },
      },
    );
    child.stdout.on('data', data => appendFileSync(log, data));
    child.stderr.on('data', data => appendFileSync(log, data));
    this.process = child;
    child.once('exit', (code, signal) => {
      this.fleet.record.write(`${this.name} ended (${code ?? signal})`);
    });
    this.fleet.record.write(
      `${this.name} starts at ${this.host}, bootstrap ${bootstrap}`,
    );
  }

  signal(name) {
    this.fleet.record.write(`${this.name} gets ${name}`);
    this.process?.kill(name);
  }

  async kill() {
    if (!this.isRunning) return;
    const ended = new Promise(resolve => this.process.once('exit', resolve));
    this.signal('SIGKILL');
    await ended;
  }

  /** Loses its disk; only while the process is not running. */
  wipe() {
    const data = path.join(this.folder, 'data');
    rmSync(data, {recursive: true, force: true});
    mkdirSync(data);
    this.fleet.record.write(`${this.name} has lost its disk`);
  }

  settings(bootstrap, seeds) {
    const isControl = this.duty === 'control';
    const {host} = this;
    return {
      nodeName: this.name,
      role: isControl ? 'ledger' : 'router',
      machineClass: isControl ? 'core' : 'frontend',
      serves: [isControl ? 'control' : 'frontend'],
      ipAddress: host,
      zone: 'zone-1',
      region: 'region-1',
      zones: {'zone-1': 'region-1'},
      listenAddresses: isControl
        ? {control: `${host}:${ports.control}`}
        : {
            frontendAddress: `${host}:${ports.front}`,
            ready: `${host}:${ports.ready}`,
          },
      internalPorts: [ports.peer, ports.peer + 15],
      seedAddresses: seeds.map(seed => `${seed}:${ports.control}`),
      bootstrap,
      countsTowardTolerance: isControl,
      limits: {
        cpuShare: 0.675,
        cpuCores: 1,
        memoryMb: 350,
        fileDescriptors: 4200,
        linkMbps: 1000,
        diskMb: isControl ? 128 : 0,
      },
      dataDirectory: isControl ? path.join(this.folder, 'data') : null,
      discovery: 'registration',
      entryPoint: 'vip',
      heartbeatMs: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
      ],
      faultTolerance: {machines: 2, zones: 0, regions: 0},
      bounds,
      configurationMode: 'highest',
    };
  }
}

/** All machines of one case. */
export class Fleet {
  /** @param options Numbers of machines, and the record of the case. */
  constructor({controls = 5, routers = 2, record}) {
    this.record = record;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.network = undefined;
    this.controlCount = controls;
    this.routerCount = routers;
    this.machines = [];
  }

  get controls() {
    return this.machines.filter(({duty}) => duty === 'control');
  }

  get routers() {
    return this.machines.filter(({duty}) => duty === 'router');
  }

  get seeds() {
    return this.controls.slice(0, 3).map(({host}) => host);
  }

  /** Takes a network of loopback addresses that nothing listens on. */
  async open() {
    const first = 64 + (process.pid % 128);
    for (let third = 1; third < 250; third++) {
      const network = `127.${first}.${third}`;
      if (!(await isFree(network))) continue;
      this.network = network;
      break;
    }
    if (this.network === undefined) throw new CannotRun('no free addresses');
    for (let index = 1; index <= this.controlCount; index++) {
      this.add('control', index);
    }
    for (let index = 1; index <= this.routerCount; index++) {
      this.add('router', 20 + index);
    }
  }

  add(duty, number) {
    const machine = new Machine(
      this,
      `${duty}-${number}`,
      duty,
      `${this.network}.${number}`,
    );
    this.machines.push(machine);
    return machine;
  }

  /** Starts all machines at once, for the first time. */
  start() {
    for (const machine of this.machines) machine.start({bootstrap: true});
  }

  async close() {
    for (const machine of this.machines) {
      machine.process?.kill('SIGCONT');
      await machine.kill();
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Sends one call to the control address of a machine. */
  control(machine, method, target, document, options = {}) {
    const body = typeof document === 'string' ? document : undefined;
    return call({
      host: machine.host,
      port: ports.control,
      method,
      path: target,
      body: body ?? (document === undefined ? '' : JSON.stringify(document)),
      headers: {'Content-Type': 'application/json'},
      ...options,
    });
  }

  /** Sends one request of a client to a router. */
  request(router, options) {
    return call({host: router.host, port: ports.front, ...options});
  }

  readiness(router) {
    return call({host: router.host, port: ports.ready, path: '/readiness'});
  }

  /**
   * Sends a configuration as an operator does: to one daemon after another, until
   * one acknowledges it or the time is over.
   *
   * @returns Milliseconds until the acknowledgement; undefined without one.
   */
  async configure(document, {seconds = 30, machines = this.controls} = {}) {
    const startedAt = Date.now();
    const {version} = document;
    this.record.write(`operator sends configuration ${version}`);
    for (let attempt = 0; Date.now() - startedAt < seconds * 1_000; attempt++) {
      const machine = machines[attempt % machines.length];
      const target = '/Configuration.Replace';
      const {status} = await this.control(machine, 'POST', target, document);
      if (status === 200) {
        this.record.write(
          `${machine.name} acknowledges configuration ${version}`,
        );
        return Date.now() - startedAt;
      }
      this.record.write(
        `${machine.name} answers configuration ${version}: ${status}`,
      );
      // Callers of the control interface wait longer after each failure.
      await sleep(Math.min(150, 30 + 10 * attempt));
    }
    return undefined;
  }

  /** Waits until all running routers are ready. */
  async untilReady(seconds = 20) {
    const until = Date.now() + seconds * 1_000;
    for (const router of this.routers.filter(({isRunning}) => isRunning)) {
      while ((await this.readiness(router)).status !== 200) {
        if (Date.now() > until) return false;
        await sleep(100);
      }
    }
    return true;
  }
}

function isFree(network) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(ports.peer, `${network}.1`, () => {
      server.close(() => resolve(true));
    });
  });
}

/** Sends one HTTP request on a new connection; status 0 if it has no answer. */
export function call({
  host,
  port,
  method = 'GET',
  path: target,
  headers = {},
  body = '',
  milliseconds = 1_000,
}) {
  return new Promise(resolve => {
    const request = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      headers: {
        ...headers,
        ...((body !== '' || method === 'POST') && {
          'Content-Length': Buffer.byteLength(body),
        }),
      },
    });
    const timer = globalThis.setTimeout(() => request.destroy(), milliseconds);
    const chunks = [];
    let answer = {status: 0, headers: {}, isWhole: false};
    const end = () => {
      globalThis.clearTimeout(timer);
      resolve({...answer, body: Buffer.concat(chunks).toString()});
    };
    request.on('error', end);
    request.on('response', response => {
      answer = {status: response.statusCode, headers: response.headers};
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () => {
        answer.isWhole = response.complete;
        end();
      });
    });
    request.end(body);
  });
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run.
 *
 * @param run Returns the texts of what broke the rule; gets the record, and
 *     whether the disruption happens.
 */
export async function runCase(folder, run) {
  const file = path.join(fileURLToPath(folder), 'record.txt');
  const record = new Record(file);
  const isTroubled = process.env.TROUBLE !== '0';
  record.write(`trouble: ${isTroubled}`);
  let code = 2;
  let broken = [];
  try {
    if (!existsSync(path.join(root, 'target/dogwoodtrestle.cjs'))) {
      throw new CannotRun('the program was not built');
    }
    broken = await run(record, isTroubled);
    for (const text of broken) record.write(`BROKEN ${text}`);
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.write(`could not run: ${error.message}`);
  }
  record.write(`exit ${code}`);
  console.log(broken.length > 0 ? broken.join('\n') : `exit ${code}`);
  process.exit(code);
}
