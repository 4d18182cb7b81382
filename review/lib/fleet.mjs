/**
 * @fileoverview A small deployment on loopback addresses for the review's
 * scripts: the project's own processes, started with the commands of the deploy
 * file, and stand-ins for the platform, the operator and callers.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
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
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {sleep};

const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Ports, the same at all addresses, as the platform has it. */
const ports = {
  caller: 8227,
  ready: 8220,
  control: 8229,
  peers: [7340, 7355],
  metrics: 9464,
};

/** Bounds of the site's sheet that the processes read. */
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

/** Pause before the platform starts a process again that has ended. */
const restartMilliseconds = 300;

const zones = ['kamloops-a', 'kamloops-b', 'prince-george', 'dawson-creek'];

/** Writes lines to `record.txt` in the folder of a case, and to the output. */
export class CaseRecord {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startedAt = Date.now();
    writeFileSync(this.file, '');
  }

  write(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    const line = `${seconds.padStart(8)} s  ${text}`;
    appendFileSync(this.file, `${line}\n`);
    process.stdout.write(`${line}\n`);
  }
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a prefix of loopback addresses whose ports are free. */
async function findPrefix(count) {
  for (let attempt = 0; attempt < 200; attempt++) {
    const pick = () => 2 + Math.floor(Math.random() * 250);
    const prefix = `127.${pick()}.${pick()}.`;
    const needed = [
      ports.caller,
      ports.ready,
      ports.control,
      ports.peers[0],
      ports.metrics,
    ];
    const checks = [];
    for (let index = 1; index <= count; index++) {
      for (const port of needed) checks.push(isFree(`${prefix}${index}`, port));
    }
    if ((await Promise.all(checks)).every(Boolean)) return prefix;
  }
  throw new Error('no free loopback addresses');
}

/** Returns the command of a role of the deploy file. */
function commandOf(role) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "([^"]+)"/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no role ${role} in the deploy file`);
  return run.split(' ');
}

/** One process of the system, which the platform keeps running. */
class SystemProcess {
  constructor(fleet, name, role, index, isCore) {
    Object.assign(this, {fleet, name, role, isCore});
    this.ip = `${fleet.prefix}${index}`;
    this.zone = zones[index % zones.length];
    this.folder = path.join(fleet.folder, name);
    this.ownEnds = 0;
    this.isFirstStart = true;
    this.isExpectedToEnd = false;
    mkdirSync(path.join(this.folder, 'data'), {recursive: true});
  }

  start() {
    const settings = {
      nodeName: this.name,
      role: this.role,
      machineClass: this.isCore ? 'core' : 'frontend',
      serves: [this.isCore ? 'control' : 'frontend'],
      ipAddress: this.ip,
      zone: this.zone,
      region: 'bc-interior',
      zones: Object.fromEntries(zones.map(zone => [zone, 'bc-interior'])),
      listenAddresses: this.isCore
        ? {control: `${this.ip}:${ports.control}`}
        : {
            frontendAddress: `${this.ip}:${ports.caller}`,
            ready: `${this.ip}:${ports.ready}`,
          },
      internalPorts: ports.peers,
      seedAddresses: this.fleet.seeds,
      bootstrap: this.isFirstStart,
      countsTowardTolerance: this.isCore,
      limits: {
        cpuShare: 0.81,
        cpuCores: 1,
        memoryMb: 350,
        fileDescriptors: 4096,
        linkMbps: 1000,
        diskMb: this.isCore ? 128 : 0,
      },
      dataDirectory: this.isCore ? path.join(this.folder, 'data') : null,
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
    const file = path.join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = commandOf(this.role);
    const child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: 'C.UTF-8',
        DOGWOODTRESTLE_BOOT: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.isExpectedToEnd = false;
    const log = path.join(this.folder, 'log');
    const keep = data => {
      appendFileSync(log, data);
      this.fleet.onLog?.(this, data.toString());
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => this.handleExit(code, signal));
  }

  handleExit(code, signal) {
    const {fleet, isExpectedToEnd} = this;
    this.child = undefined;
    if (fleet.isStopping) return;
    if (!isExpectedToEnd) {
      this.ownEnds++;
      fleet.record.write(
        `${this.name} ended by itself (code ${code}, signal ${signal})`,
      );
    }
    // Settings files of a later start say that it is not the first one.
    this.isFirstStart = false;
    this.restartTimer = setTimeout(() => {
      if (fleet.isStopping) return;
      if (isExpectedToEnd) fleet.record.write(`${this.name} is started again`);
      this.start();
    }, restartMilliseconds);
  }

  /** Sends a signal after which the process is expected to end. */
  end(signal) {
    this.isExpectedToEnd = true;
    this.fleet.record.write(`${this.name} gets ${signal}`);
    this.child?.kill(signal);
  }
}

/** A running system. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.isStopping = false;
    this.servers = [];
  }

  async start({core = 5, routers = 2} = {}) {
    this.prefix = await findPrefix(core + routers);
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.seeds = [1, 2, 3].map(
      index => `${this.prefix}${index}:${ports.control}`,
    );
    this.core = [];
    this.routers = [];
    for (let index = 1; index <= core; index++) {
      this.core.push(
        new SystemProcess(this, `core-${index}`, 'ledger', index, true),
      );
    }
    for (let index = 1; index <= routers; index++) {
      const position = core + index;
      this.routers.push(
        new SystemProcess(this, `front-${index}`, 'router', position, false),
      );
    }
    for (const one of [...this.core, ...this.routers]) one.start();
  }

  /** Ends all processes and removes the temporary folder. */
  async stop() {
    this.isStopping = true;
    for (const server of this.servers) server.stop();
    for (const one of [...(this.core ?? []), ...(this.routers ?? [])]) {
      clearTimeout(one.restartTimer);
      one.child?.kill('SIGKILL');
    }
    await sleep(200);
    if (this.folder !== undefined && process.env.KEEP === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }

  get controlAddresses() {
    return this.core.map(({ip}) => `${ip}:${ports.control}`);
  }

  callerAddress(router) {
    return {host: router.ip, port: ports.caller};
  }

  /** Sends a configuration to one process after the other until it is accepted. */
  async putConfiguration(configuration, milliseconds = 20_000) {
    const body = JSON.stringify(configuration);
    const deadline = Date.now() + milliseconds;
    for (let turn = 0; Date.now() < deadline; turn++) {
      const address = this.controlAddresses[turn % this.core.length];
      const reply = await call(address, 'POST', '/Configuration.Replace', body);
      if (reply.status === 200) {
        this.record.write(
          `operator: version ${configuration.version} is acknowledged`,
        );
        return true;
      }
      if (reply.status === 400) {
        this.record.write(
          `operator: version ${configuration.version} gets 400 ${reply.body}`,
        );
        return false;
      }
      await sleep(200);
    }
    this.record.write(
      `operator: version ${configuration.version} is not acknowledged`,
    );
    return false;
  }

  /** Reads the configuration once at each control process. */
  async readConfigurations() {
    const replies = await Promise.all(
      this.controlAddresses.map(address =>
        call(address, 'GET', '/Configuration.Read'),
      ),
    );
    return replies.map(({status, body}) =>
      status === 200 ? JSON.parse(body).version : undefined,
    );
  }

  /** Resolves once all routers are ready. */
  async waitUntilReady(milliseconds = 20_000) {
    const deadline = Date.now() + milliseconds;
    while (Date.now() < deadline) {
      const replies = await Promise.all(
        this.routers.map(({ip}) =>
          call(`${ip}:${ports.ready}`, 'GET', '/readiness'),
        ),
      );
      if (replies.every(({status}) => status === 200)) return true;
      await sleep(200);
    }
    return false;
  }
}

/** Calls an address once; status 0 where there is no response in a second. */
export function call(address, method, target, body) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        agent: false,
        timeout: 1_000,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
      },
      response => {
        const chunks = [];
        response.on('data', data => chunks.push(data));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on('error', () => resolve({status: 0, body: ''}));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({status: 0, body: ''}));
    request.end(body);
  });
}

/** Sends the heartbeats of a server, as the protocol's page says. */
export class Announcer {
  constructor(fleet, fields) {
    this.fleet = fleet;
    this.fields = fields;
    this.sequence = 0;
    this.isStopped = false;
  }

  start() {
    this.born = Date.now();
    void this.run();
  }

  stop() {
    this.isStopped = true;
  }

  async run() {
    while (!this.isStopped) {
      await this.beat();
      await sleep(1_200);
    }
  }

  async beat() {
    const {id, ...fields} = this.fields;
    const body = JSON.stringify({
      zone: zones[0],
      version: 'v1',
      state: 'ready',
      coldRemainingMs: 0,
      stage: 'both',
      ...fields,
      sequence: ++this.sequence,
      born: this.born,
    });
    for (const address of this.fleet.controlAddresses) {
      const target = `/Instances.Heartbeat/${id}`;
      const reply = await call(address, 'POST', target, body);
      if (reply.status === 200) return true;
    }
    return false;
  }
}

/** Returns the limits of a configuration. */
export function callerLimits() {
  return {
    headerBytes: 16384,
    bodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  };
}

/** Returns a service of model servers. */
export function modelService(name) {
  return {
    name,
    healthPath: '/health',
    maxConnections: 610,
    protocol: 'h1',
    tls: false,
    engine: {
      slots: 128,
      kvCacheTokens: 784767,
      tokenKvBytes: 18432,
      linkMbps: 370000,
      moves: true,
      backups: true,
      stride: 5,
      most: 12,
      pinMs: 4000,
      holdMs: 2000,
      handleTtlS: 5,
      models: [{name: 'm'}],
    },
  };
}

/** Runs a case; exits with 1 if the rule was broken, 0 if not, else 2. */
export async function runCase(folder, play) {
  const record = new CaseRecord(folder);
  const fleet = new Fleet(record);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.write(hasTrouble ? 'with the disruption' : 'without the disruption');
  let code = 2;
  const limit = setTimeout(() => {
    record.write('out of time');
    void fleet.stop().finally(() => process.exit(2));
  }, 115_000);
  try {
    code = await play({fleet, record, hasTrouble});
  } catch (error) {
    record.write(`could not run: ${error.stack}`);
  } finally {
    clearTimeout(limit);
    await fleet.stop();
  }
  const words = {0: 'the rule held', 1: 'the rule was broken', 2: 'not run'};
  record.write(words[code]);
  process.exit(code);
}
