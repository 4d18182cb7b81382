/**
 * @fileoverview Tests that no router hears of a wrong software version of a stream,
 * in virtual time and without sockets: control processes and routers that stand
 * still, or are cut off, while servers of another version start.
 */
import {type StreamService} from '@dogwoodtrestle/control';
import {StreamOrigins} from '@dogwoodtrestle/edge';
import {type PeerCallClient, silentLogger} from '@dogwoodtrestle/runtime';
import {type StreamQueryReply} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {
  type ControlProcess,
  startControlProcess,
} from '../src/freshness/controlProcess.js';
import {MemoryDisk} from '../src/freshness/memoryStorage.js';
import {RouterProcess} from '../src/freshness/routerProcess.js';
import {
  VirtualMachine,
  VirtualScheduler,
} from '../src/freshness/virtualMachine.js';
import {VirtualNetwork} from '../src/freshness/virtualNetwork.js';
import {seededRandom} from '../src/util/random.js';

const service = 'base';
const networkMilliseconds = 1.5;
const syncMilliseconds = 2;

/** Time within which a leader is elected, and processes have its changes. */
const settleMilliseconds = 4_000;

/** Time within which a router has a reply. */
const replyMilliseconds = 500;

/** Interval of announcements, as of the users' servers. */
const announceMilliseconds = 1_200;

/** Control processes, a router that follows them, and one that is out of step. */
class Release {
  readonly scheduler = new VirtualScheduler();
  readonly network: VirtualNetwork;
  readonly core: VirtualMachine[];
  readonly controls = new Map<VirtualMachine, ControlProcess>();
  readonly router: RouterProcess;
  readonly outOfStep: VirtualMachine;
  /** Address of the leader that the router out of step knows. */
  knownLeader?: string;
  private readonly origins: StreamOrigins;
  private readonly outside: PeerCallClient;

  constructor(seed: number) {
    const random = seededRandom(seed);
    const {scheduler} = this;
    this.network = new VirtualNetwork(scheduler, random, networkMilliseconds);
    const names = ['core-0', 'core-1', 'core-2'];
    this.core = names.map(name => this.createMachine(name));
    const seeds = this.core.map(({address}) => address);
    for (const machine of this.core) {
      const disk = new MemoryDisk(`disk-${machine.address}`, syncMilliseconds);
      void startControlProcess(machine, disk, this.network, {
        seeds,
        snapshotEveryEntries: 3_000,
      }).then(control => this.controls.set(machine, control));
    }
    const inStep = this.createMachine('router-0');
    this.router = new RouterProcess(inStep, this.network, seeds, random);
    this.outOfStep = this.createMachine('router-1');
    this.origins = new StreamOrigins({
      clock: this.outOfStep.start(),
      logger: silentLogger,
      calls: this.network.clientOf(this.outOfStep, 1),
      pool: {softwareVersions: () => new Set(['v1'])},
      leader: () => this.knownLeader,
      routerCount: () => 2,
    });
    const outside = this.createMachine('outside');
    outside.start();
    this.outside = this.network.clientOf(outside, 1);
  }

  /** The process that leads, by what it knows. */
  get leader(): VirtualMachine {
    const leader = this.core.find(machine => this.leads(machine));
    if (leader === undefined) throw new Error('nobody leads');
    return leader;
  }

  /** Whether the router in step may send a stream to a server. */
  isOffered(id: string): boolean {
    return this.router.serversOf(service).some(server => server.id === id);
  }

  async advance(milliseconds: number): Promise<void> {
    await this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Announces a server at a process again and again. */
  announce(to: VirtualMachine, id: string, softwareVersion: string): void {
    let sequence = 0;
    const repeat = () => {
      const record = {
        id,
        service,
        softwareVersion,
        address: `${id}:80`,
        startedAt: 1,
        sequence: ++sequence,
        state: 'ready',
        slots: 4,
      };
      this.outside
        .call(to.address, 'announce', record, {timeoutMilliseconds: 500})
        .catch(() => undefined);
      this.scheduler.after(announceMilliseconds, repeat);
    };
    repeat();
  }

  /** Cuts the paths between machines and others. */
  cut(side: readonly VirtualMachine[]): void {
    for (const machine of side) {
      for (const other of this.core) {
        if (!side.includes(other)) this.network.cut(machine, other);
      }
    }
  }

  /** Asks for the version of a stream that nobody has reported. */
  find() {
    return this.origins.find('a-1', service);
  }

  /** Whether a process leads, by what it knows. */
  leads(machine: VirtualMachine): boolean {
    const isLeader = this.controls.get(machine)?.group.isConfirmedLeader;
    return isLeader === true && !machine.isFrozen;
  }

  private createMachine(name: string): VirtualMachine {
    const machine = new VirtualMachine(`${name}:1`, this.scheduler);
    this.network.add(machine);
    return machine;
  }
}

const {random: systemRandom} = Math;

afterEach(() => {
  Math.random = systemRandom;
});

/** Starts a fleet whose processes all know a server of v1. */
async function startRelease(seed = 1): Promise<Release> {
  // The replica group draws its election timeouts from it.
  Math.random = seededRandom(seed);
  const release = new Release(seed);
  await release.advance(settleMilliseconds);
  release.announce(release.core[0]!, 's-1', 'v1');
  await release.advance(settleMilliseconds);
  release.knownLeader = release.leader.address;
  const origin = release.find();
  await release.advance(replyMilliseconds);
  expect(await origin).toMatchObject({softwareVersion: 'v1'});
  return release;
}

/** Asks a process for the version of a stream that nobody has reported. */
function ask({handlers}: VirtualMachine): Promise<StreamQueryReply> {
  const find = handlers['findStream'] as StreamService['find'] | undefined;
  if (find === undefined) throw new Error('no such call');
  return find({attempt: 'a-1', service});
}

describe('a router out of step', () => {
  // Guards against a stream of a new version that goes on at an old one: the leader
  // that the router asked stood still while servers of the new one started (issue 60).
  it('hears no version of a leader that stood still', async () => {
    const release = await startRelease();
    const {leader} = release;
    release.cut([leader, release.outOfStep]);
    leader.freeze();
    await release.advance(settleMilliseconds);
    release.announce(release.leader, 's-2', 'v2');
    await release.advance(settleMilliseconds);
    expect(release.isOffered('s-2')).toBe(true);
    // Its event loop reads calls before it runs the timers that became due.
    const reply = ask(leader);
    leader.thaw();
    await release.advance(replyMilliseconds);
    expect(await reply).toMatchObject({kind: 'notLeader'});
  });

  // Guards against the same of a leader that was cut off together with the router
  // (issue 60).
  it.each([1, 2, 3, 4, 5])(
    'hears no version of a leader that lost its majority (seed %i)',
    async seed => {
      const release = await startRelease(seed);
      const {leader} = release;
      release.cut([leader, release.outOfStep]);
      for (const machine of release.core) {
        if (machine !== leader) release.announce(machine, 's-2', 'v2');
      }
      const wrong: unknown[] = [];
      for (let count = 0; count < settleMilliseconds; count += 10) {
        const isBegun = release.isOffered('s-2');
        void release.find().then(origin => {
          if (isBegun && origin.softwareVersion === 'v1') wrong.push(origin);
        });
        await release.advance(10);
      }
      expect(release.isOffered('s-2')).toBe(true);
      expect(wrong).toEqual([]);
    },
  );
});

describe('a leader that was elected', () => {
  // Guards against a stream of a new version that goes on at an old one: the leader
  // before it had offered a server that no majority had recorded (issue 60).
  it('knows of each server that an earlier one has offered', async () => {
    const release = await startRelease();
    const {leader: former, core, network} = release;
    const others = core.filter(machine => machine !== former);
    for (const other of others) network.cut(former, other);
    release.announce(former, 's-2', 'v2');
    let isBegun = false;
    for (let count = 0; count < settleMilliseconds; count += 10) {
      isBegun ||= release.isOffered('s-2');
      await release.advance(10);
    }
    release.knownLeader = others.find(other => release.leads(other))?.address;
    const origin = release.find();
    await release.advance(replyMilliseconds);
    const {softwareVersion} = await origin;
    expect({isBegun, softwareVersion}).toEqual({
      isBegun: false,
      softwareVersion: 'v1',
    });
    for (const other of others) network.join(former, other);
    await release.advance(settleMilliseconds);
    expect(release.isOffered('s-2')).toBe(true);
  });
});
