import {parserOf} from '@dogwoodtrestle/schema';

import {
  type ConsensusMessage,
  type ConsensusReply,
  decideRepair,
  type Member,
  NotLeader,
  Replica,
  Stopped,
} from '../../src/index.js';
import {CrashableStorage} from './crashableStorage.js';
import {check, GroupModel} from './groupModel.js';
import {seededRandom, settle, VirtualTime} from './virtualTime.js';

const parseMessage = parserOf('ConsensusMessage');
const parseReply = parserOf('ConsensusReply');

/** A process that can crash, freeze and lose its disk. */
export class FakeNode {
  isFrozen = false;
  isCutOff = false;
  state: string[] = [];
  replica?: Replica;
  storage!: CrashableStorage;
  private epoch = 0;
  private diskNumber = 0;
  private backlog: (() => void)[] = [];

  constructor(
    readonly name: string,
    private readonly group: FakeGroup,
  ) {
    this.loseDisk();
  }

  get member(): Member {
    const {name} = this;
    const id = this.storage.identity;
    return {id, instance: name, address: name, role: 'voter'};
  }

  /** Runs a callback unless the process crashes; a frozen one runs it later. */
  inProcess(callback: () => void, isMessage = false): () => void {
    const {epoch} = this;
    return () => {
      if (epoch !== this.epoch) return;
      if (!this.isFrozen) callback();
      else if (isMessage) this.backlog.unshift(callback);
      else this.backlog.push(callback);
    };
  }

  async open(): Promise<Replica> {
    const {time, model, random, failures} = this.group;
    this.state = [];
    this.replica = await Replica.open({
      member: this.member,
      storage: this.storage,
      stateMachine: {
        apply: entry => {
          model.onApply(entry, this.state.length, time.now);
          return entry.commands!.map(c => this.state.push(c as string) - 1);
        },
        snapshot: () => this.state,
        restore: state => {
          this.state = structuredClone(state as string[]);
          model.onRestore(this.state);
        },
      },
      transport: {send: (to, message) => this.group.send(this, to, message)},
      clock: {
        now: () => time.now,
        setTimer: (delay, callback) =>
          time.schedule(delay, this.inProcess(callback)),
      },
      // Few different timeouts, so that elections often collide.
      random: () => Math.floor(random() * 4) / 4,
      electionTimeoutMilliseconds: 400,
      heartbeatIntervalMilliseconds: 50,
      messageTimeoutMilliseconds: 150,
      snapshotEveryEntries: 15,
      trailingEntries: 4,
      maxMessageBytes: 400,
      onFailure: error => failures.push(error),
    });
    return this.replica;
  }

  crash(): void {
    this.epoch++;
    this.isFrozen = false;
    this.backlog = [];
    this.replica = undefined;
    this.storage.crash();
  }

  async restart(): Promise<void> {
    if (this.replica === undefined) (await this.open()).start();
  }

  async thaw(): Promise<void> {
    this.isFrozen = false;
    for (const callback of this.backlog.splice(0)) {
      callback();
      await settle();
    }
  }

  loseDisk(): void {
    if (this.replica !== undefined) this.crash();
    const {random, time} = this.group;
    this.storage = new CrashableStorage(
      `${this.name}${++this.diskNumber}`,
      random,
      (delay, callback) => time.schedule(delay, this.inProcess(callback)),
    );
  }
}

/** Replicas on a network that loses, delays, reorders and repeats messages. */
export class FakeGroup {
  readonly time = new VirtualTime();
  readonly model = new GroupModel();
  readonly failures: unknown[] = [];
  readonly random: () => number;
  readonly nodes: FakeNode[];
  lossRate: number;
  /** Whether leaders get reads all the time. */
  isReading = true;
  private readonly maxDelay: number;
  private readonly lostIds = new Set<string>();

  constructor(seed: number, size: number) {
    this.random = seededRandom(seed);
    this.lossRate = this.random() * 0.2;
    this.maxDelay = 5 + this.random() * 60;
    this.nodes = ['a', 'b', 'c', 'd', 'e']
      .slice(0, size)
      .map(name => new FakeNode(name, this));
  }

  async found(members: number): Promise<void> {
    const first = this.nodes.slice(0, members);
    for (const node of this.nodes) await node.open();
    const founding = first.map(({replica}) =>
      replica!.bootstrap(first.map(({member}) => member)),
    );
    await this.time.run(1_000);
    await Promise.all(founding);
    for (const node of this.nodes) node.replica?.start();
    this.repairAgain();
    this.readAgain();
  }

  get leaders(): FakeNode[] {
    return this.nodes.filter(
      ({replica, isFrozen}) => !isFrozen && replica?.status().role === 'leader',
    );
  }

  propose(node: FakeNode, command: string): void {
    const onResult = ([position]: unknown[]) =>
      this.model.onAcknowledged(command, position as number);
    const onError = (error: unknown) => {
      const isRefused = error instanceof NotLeader || error instanceof Stopped;
      if (isRefused) this.model.onRefused(command);
    };
    const call = () =>
      node.replica?.propose([command]).then(
        results => this.guard(() => onResult(results)),
        error => this.guard(() => onError(error)),
      );
    node.inProcess(() => void call(), true)();
  }

  /** A read must see all that was acknowledged before it came in. */
  read(node: FakeNode): void {
    const {acknowledgedLength} = this.model;
    const onFresh = () =>
      check(node.state.length >= acknowledgedLength, 'stale read');
    const call = () =>
      node.replica?.barrier().then(
        () => this.guard(onFresh),
        () => undefined,
      );
    node.inProcess(() => void call(), true)();
  }

  /** Loses a disk, unless the group still lacks an earlier one. */
  loseDisk(node: FakeNode): void {
    const members = this.nodes.flatMap(
      ({replica}) => replica?.status().members ?? [],
    );
    const known = new Set(members.map(({id}) => id));
    const isDegraded = [...this.lostIds].some(id => known.has(id));
    if (isDegraded || this.nodes.some(({replica}) => !replica)) return;
    this.lostIds.add(node.member.id);
    node.loseDisk();
  }

  send(
    from: FakeNode,
    to: Member,
    message: ConsensusMessage,
  ): Promise<ConsensusReply> {
    this.guard(() => this.model.onMessage(message));
    const text = JSON.stringify(message);
    const target = this.nodeAt(to);
    return new Promise((resolve, reject) => {
      // The reply goes to the process that asked, not to its next start.
      const answer = (reply: ConsensusReply | undefined) =>
        reply === undefined ? reject(new Error('refused')) : resolve(reply);
      let reply: ConsensusReply | undefined;
      const receive = from.inProcess(() => answer(reply), true);
      const deliver = async () => {
        reply = await this.deliver(to, text).catch(() => undefined);
        this.travel(from, target, receive);
      };
      const count = this.random() < 0.05 ? 2 : 1;
      for (let n = 0; n < count; n++) {
        const arrive = target.inProcess(() => void deliver(), true);
        this.travel(from, target, arrive);
      }
    });
  }

  /** Replaces lost replicas, as the host of the leader does. */
  private repairAgain(): void {
    for (const {replica} of this.leaders) {
      const status = replica!.status();
      const known = new Set(status.members.map(({id}) => id));
      const step = decideRepair(
        {
          status,
          candidates: this.nodes
            .filter(node => node.replica && !known.has(node.member.id))
            .map(({member, name}) => ({...member, failureDomain: name})),
          failureDomains: new Map(),
        },
        {lostAfterMilliseconds: 2_000, maxPromotionLag: 10},
      );
      const actions = {
        none: () => undefined,
        addLearner: () =>
          'member' in step ? replica!.addLearner(step.member) : undefined,
        promote: () => ('id' in step ? replica!.promote(step.id) : undefined),
        remove: () =>
          'id' in step ? replica!.removeMember(step.id) : undefined,
      };
      actions[step.kind]()?.catch(() => undefined);
    }
    this.time.schedule(300, () => this.repairAgain());
  }

  private readAgain(): void {
    if (!this.isReading) return;
    for (const leader of this.leaders) this.read(leader);
    this.time.schedule(20, () => this.readAgain());
  }

  private async deliver(to: Member, text: string): Promise<ConsensusReply> {
    const {replica} = this.nodeAt(to);
    if (replica === undefined) throw new Error('connection refused');
    const message = parseMessage(JSON.parse(text));
    const reply = await replica.receive(message);
    this.guard(() => this.model.onReply(message, reply));
    return parseReply(JSON.parse(JSON.stringify(reply)));
  }

  /** Calls back after a delay, or never where the network is cut. */
  private travel(from: FakeNode, to: FakeNode, callback: () => void): void {
    const isCut = from.isCutOff !== to.isCutOff;
    if (isCut || this.random() < this.lossRate) return;
    const delay =
      this.random() < 0.02 ? 600 : 1 + this.random() * this.maxDelay;
    this.time.schedule(delay, callback);
  }

  private nodeAt({address}: Member): FakeNode {
    return this.nodes.find(({name}) => name === address)!;
  }

  private guard(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.failures.push(error);
    }
  }
}
