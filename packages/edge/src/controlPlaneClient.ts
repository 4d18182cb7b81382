/**
 * @fileoverview Client of the control processes: follows their leader, searches for
 * it where it is lost, applies its updates, and reports token usage.
 */
import {
  type HeldGrants,
  type LeaseRequestTime,
  type RouteTable,
} from '@dogwoodtrestle/fleet';
import {type PeerCallClient, settledWithin} from '@dogwoodtrestle/runtime';
import {
  type Evacuations,
  type LeaderHint,
  type LeaderView,
  type UsageGrants,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {CallTimes} from './callTimes.js';
import {type EdgeOptions} from './edgeOptions.js';
import {FleetCopy, type ServerListener} from './fleetCopy.js';
import {KnownLeader} from './knownLeader.js';
import {LeaderContact} from './leaderContact.js';
import {type ReplyCounter} from './replyCounter.js';
import {type RouterIdentity} from './routerIdentity.js';
import {chooseTargets, searchPause} from './searchRound.js';
import {Signal} from './signal.js';
import {UsageReporter, type UsageReportHost} from './usageReporter.js';
import {type EndedCall, WatchCalls} from './watchCalls.js';
import {type WatchTopic} from './watchTopic.js';

/** Control processes that are asked in one round, besides the leader. */
const probesPerRound = 2;

/** The same at start, until a leader is found. */
const probesAtStart = 3;

/** Time for which the changes that a leader has shown may be on their way. */
const behindDelayMilliseconds = 100;

/** Time for which a leader may hold a call while its last reply is on its way. */
const resendDelayMilliseconds = 400;

/** Rounds of a search after which idle connections are not used any more. */
const roundsBeforeRenewal = 3;

/** Receives changes other than those of the configuration. */
export interface ControlPlaneListener extends ServerListener {
  /** Further subjects, applied after the records. */
  topics: readonly WatchTopic[];
  /** Called with the address of each leader that has recorded a report. */
  onLeader?(address: string): void;
}

/** How a search for the leader is carried out. */
interface SearchOptions {
  /** Whether the leader gives no reply, so that its connections may be silent. */
  isSilent: boolean;
  /** Control processes that are asked in one round, besides the leader. */
  probes: number;
}

/** Follows the leader of the control processes. */
export class ControlPlaneClient {
  private readonly copy: FleetCopy;
  private readonly contact: LeaderContact;
  private readonly reporter: UsageReporter;
  private readonly known = new KnownLeader();
  private readonly watchCalls: WatchCalls;
  /** Counts the calls of all searches. */
  private probed = 0;
  private isStopped = false;
  private readonly times: CallTimes;
  /** The call that asks the leader again, until its reply or its time is up. */
  private asking?: Promise<void>;
  private isBehindChecked = false;
  /** Emitted when a leader's update has been applied. */
  private readonly updated: Signal;
  /** Emitted when the leader is to be searched for. */
  private readonly disturbed: Signal;
  /** Number of the newest watch call whose reply was applied. */
  private appliedWatchCall = 0;

  constructor(
    private readonly options: EdgeOptions,
    calls: PeerCallClient,
    identity: RouterIdentity,
    grants: HeldGrants,
    private readonly listener: ControlPlaneListener,
    replies: ReplyCounter,
  ) {
    this.updated = new Signal(options.clock);
    this.disturbed = new Signal(options.clock);
    this.copy = new FleetCopy(options, listener);
    this.contact = new LeaderContact(options, this.copy);
    const {copy, known} = this;
    this.times = new CallTimes(options, () => this.reportDelayMilliseconds);
    const {times} = this;
    this.watchCalls = new WatchCalls(
      {options, calls, identity, times, replies},
      {
        versions: () => copy.versions,
        peersRevisionOf: address => known.peersRevisionOf(address),
        topics: () => listener.topics,
        onReply: (reply, call) => {
          if (reply.kind === 'update') this.applyUpdate(reply, call);
          else this.applyHint(reply, call.address, call.time);
        },
        onFailure: ({number, address, time}) => {
          if (number > this.appliedWatchCall) this.dropLeader(address, time);
        },
      },
    );
    const host: UsageReportHost = {
      leader: () => known.address,
      onTick: () => this.contact.sampleViewAge(),
      onGrants: (reply, leader, time) => this.applyGrants(reply, leader, time),
      onHint: (hint, asked, time) => this.applyHint(hint, asked, time),
    };
    this.reporter = new UsageReporter(
      options,
      calls,
      identity,
      grants,
      replies,
      host,
    );
  }

  /** The active configuration; undefined before the first one. */
  get routes(): RouteTable | undefined {
    return this.copy.routes;
  }

  /** The evacuated failure domains. */
  get evacuations(): Evacuations {
    return this.copy.evacuations;
  }

  /** Maximum number of live routers that a leader has ever reported. */
  get routerCount(): number {
    return this.known.routerCount;
  }

  /** Address of the leader; undefined while none is known. */
  get leaderAddress(): string | undefined {
    return this.known.address;
  }

  /** Whether a leader has replied recently. */
  get isConnected(): boolean {
    return this.leaderAddress !== undefined && this.contact.isRecent;
  }

  /** Whether a leader that vouches for its state has replied recently. */
  get isVouchedFor(): boolean {
    return this.contact.isVouchedFor;
  }

  /** Whether a leader has shown newer versions than this router has. */
  get isBehind(): boolean {
    return this.copy.view.isBehind;
  }

  /** Peer addresses of all routers, including this one. */
  get routers(): readonly string[] {
    return this.known.peers;
  }

  /** Milliseconds since the last reply of a leader. */
  get contactAgeMilliseconds(): number {
    return this.contact.ageMilliseconds;
  }

  /**
   * Milliseconds since a leader confirmed the configuration and the servers that
   * this router has; Infinity if none has.
   */
  get viewAgeMilliseconds(): number {
    return this.copy.view.ageMilliseconds;
  }

  /** Usual time until a leader has confirmed a report, in milliseconds. */
  get reportDelayMilliseconds(): number {
    return this.reporter.delayMilliseconds;
  }

  /** Starts to watch for changes and to report usage. */
  start(): void {
    void this.watch();
    this.reporter.start();
  }

  /** Stops watching and periodic reports; calls in progress go on. */
  stop(): void {
    this.isStopped = true;
    this.reporter.stop();
    this.disturbed.emit();
    this.updated.emit();
  }

  /** Sends another watch call at once, as a topic has to report. */
  callAtOnce(): void {
    const {leaderAddress: leader} = this;
    if (leader !== undefined) void this.watchCalls.poll(leader);
  }

  /** Resolves once the leader was asked again, or after a time. */
  async confirm(milliseconds: number): Promise<void> {
    await settledWithin(this.options.clock, this.askAgain(), milliseconds);
  }

  /**
   * Asks the leader for an immediate reply. Calls at the same time share it.
   * Resolves once a reply was applied, or is late.
   */
  async askAgain(): Promise<void> {
    this.asking ??= this.askLeader().finally(() => {
      this.asking = undefined;
    });
    return this.asking;
  }

  /**
   * Reports usage now. Resolves once a leader has replied or the report has
   * failed; a call during a report waits for the next one.
   */
  report(): Promise<void> {
    return this.reporter.report();
  }

  private async watch(): Promise<void> {
    await this.search({probes: probesAtStart});
    while (!this.isStopped) {
      const {leaderAddress: leader} = this;
      const isSilent = leader !== undefined && !(await this.follow(leader));
      if (this.leaderAddress === undefined || isSilent) {
        await this.search({isSilent});
      }
    }
  }

  /**
   * Sends a long poll to the leader, and waits for its reply.
   *
   * @returns False if no control process has replied in time.
   */
  private async follow(leader: string): Promise<boolean> {
    const {count} = this.updated;
    const call = this.watchCalls.poll(leader);
    await this.disturbed.within(this.times.pollTimeout, call);
    return this.updated.count > count || this.leaderAddress !== leader;
  }

  /**
   * Asks control processes in rounds until an update has been applied. Replies to
   * earlier calls count as well.
   */
  private async search({
    isSilent = false,
    probes = probesPerRound,
  }: Partial<SearchOptions>): Promise<void> {
    const {clock, watchTimeoutMilliseconds} = this.options;
    const startedAt = clock.now();
    const {count} = this.updated;
    for (let round = 0; !this.isStopped; round++) {
      this.askInRound(probes, isSilent || round >= roundsBeforeRenewal);
      const pause = searchPause(clock.now() - startedAt);
      // Replies to reports show that the leader is late and not lost.
      const isLate = this.leaderAddress !== undefined && this.hasRecentContact;
      const interval = isLate ? this.times.askInterval : pause;
      await this.updated.within(interval);
      if (this.updated.count > count) return;
      this.contact.detectLoss();
      // Replies to reports show that the leader is reached, if slowly.
      if (this.contactAgeMilliseconds >= watchTimeoutMilliseconds) {
        this.known.forget();
      }
    }
  }

  private askInRound(probes: number, mayBeSilent: boolean): void {
    const {known, probed, options, watchCalls} = this;
    const addresses = [...new Set([...known.replicas, ...options.seeds()])];
    if (watchCalls.isSilent) {
      for (const address of addresses) watchCalls.callInSilence(address);
      return;
    }
    const targets = chooseTargets({
      addresses,
      namedLeader: known.namedAddress,
      isHolding: address =>
        address === known.address || watchCalls.hasRecentPoll(address),
      probes,
      probed,
    });
    this.probed += probes;
    watchCalls.callInRound(targets, mayBeSilent);
  }

  /** Whether any reply has come within the time of a long poll. */
  private get hasRecentContact(): boolean {
    return this.contactAgeMilliseconds < this.times.pollTimeout;
  }

  private async askLeader(): Promise<void> {
    const {leaderAddress: leader, updated, watchCalls} = this;
    const {count} = updated;
    if (leader === undefined) {
      await updated.within(this.times.askInterval);
      return;
    }
    const pause = watchCalls.pauseBeforeAsk(leader);
    if (pause > 0) await updated.within(pause);
    if (updated.count > count) return;
    void watchCalls.ask(leader);
    await updated.within(resendDelayMilliseconds + this.times.replyMargin);
    if (updated.count === count) this.disturbed.emit();
  }

  /**
   * Applies an update, the view last: it confirms what has been applied. Of a
   * leader that was replaced, only what can't be withdrawn is applied.
   */
  private applyUpdate(update: WatchUpdate, call: EndedCall): void {
    const {copy, contact, options} = this;
    const {view, directory} = update;
    const {address, number, time} = call;
    const source = view === undefined ? 'current' : copy.view.enterTerm(view);
    const isNewest = source === 'newer' || number >= this.appliedWatchCall;
    try {
      // A router without a configuration sends nothing, so it knows these first.
      copy.applyEvacuations(update.evacuations);
      copy.applyConfiguration(update.configuration);
      if (source === 'replaced') copy.applyDepartures(directory);
      else if (view !== undefined || isNewest) copy.applyDirectory(directory);
    } catch (error) {
      options.logger.error({err: error, address}, 'could not apply an update');
      return;
    }
    if (source === 'replaced') return this.dropLeader(address, time);
    if (isNewest) this.applyNewest(update, call);
    contact.record(address);
    this.observeView(view, address, time);
    if (view === undefined && isNewest && copy.view.observeUpdate(time)) {
      contact.recordVouched();
    }
    this.updated.emit();
  }

  /** Applies what only the reply to the newest call may change. */
  private applyNewest(
    update: WatchUpdate,
    {number, address, time}: EndedCall,
  ): void {
    this.appliedWatchCall = Math.max(this.appliedWatchCall, number);
    this.known.applyUpdate(update, address, time);
    for (const topic of this.listener.topics) {
      try {
        topic.apply(update, time);
      } catch (error) {
        const {logger} = this.options;
        logger.error({err: error, address}, 'could not apply a topic');
      }
    }
  }

  private applyGrants(
    {view}: UsageGrants,
    leader: string,
    time: LeaseRequestTime,
  ): void {
    if (this.leaderAddress === leader) this.contact.record(leader);
    this.listener.onLeader?.(leader);
    this.observeView(view, leader, time);
  }

  private observeView(
    view: LeaderView | undefined,
    address: string,
    time: LeaseRequestTime,
  ): void {
    if (view === undefined) return;
    const source = this.copy.view.observe(view, time);
    if (source === 'replaced') this.dropLeader(address, time);
    else this.contact.recordVouched();
    this.catchUp();
  }

  /** Asks the leader again while it has changes that don't arrive. */
  private catchUp(): void {
    if (!this.isBehind || this.isBehindChecked || this.isStopped) return;
    this.isBehindChecked = true;
    const {clock} = this.options;
    clock.setTimer(behindDelayMilliseconds, () => {
      this.isBehindChecked = false;
      if (!this.isBehind) return;
      void this.askAgain().then(() => this.catchUp());
    });
  }

  private applyHint(
    hint: LeaderHint,
    asked: string,
    time: LeaseRequestTime,
  ): void {
    this.known.applyHint(hint, asked);
    this.copy.view.observeHint(hint);
    this.catchUp();
    this.dropLeader(asked, time);
  }

  /** Stops following a process that doesn't lead or can't be called. */
  private dropLeader(address: string, time: LeaseRequestTime): void {
    if (!this.known.drop(address, time)) return;
    this.disturbed.emit();
  }
}
