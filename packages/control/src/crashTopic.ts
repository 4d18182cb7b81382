/**
 * @fileoverview Crashes of backend servers in the watch call: routers report
 * what was open at them, and the leader blocks parts of prompts that crash
 * servers. Blocks are in the replicated log; evidence is in memory, and routers
 * report it again to a new leader.
 *
 * From time to time one router may send one request with a blocked part, to see
 * whether servers still crash.
 */
import {
  type CrashingPart,
  CrashingParts,
  defaultCrashingPartsOptions,
  type FleetState,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {
  type BlockPart,
  type CrashReport,
  type UnblockPart,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';

import {type ReplicaGroup} from './replicaGroup.js';
import {type WatchTopic} from './watchTopic.js';

/**
 * Time from a block to the first trial, or from the start of a new leader's term;
 * doubled after each one.
 */
const trialIntervalMilliseconds = 120_000;

/** Limit of that time. */
const maxTrialIntervalMilliseconds = 3_600_000;

/** Options of the topic. */
export interface CrashTopicOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Called when routers have to be told something at once. */
  onNews: () => void;
}

/** When the next trial of a blocked part is due. */
interface Trial {
  /** Monotonic time in milliseconds. */
  dueAt: number;
  intervalMilliseconds: number;
}

/** Joins the routers' evidence, and blocks and unblocks parts. */
export class CrashTopic implements WatchTopic {
  private readonly parts = new CrashingParts();
  private readonly trials = new Map<string, Trial>();
  /** Parts of which a change is being recorded. */
  private readonly pending = new Set<string>();
  private readonly events: Counter;

  constructor(
    private readonly options: CrashTopicOptions,
    private readonly group: Pick<ReplicaGroup, 'isLeader' | 'replica'>,
    private readonly state: Pick<FleetState, 'blockedParts'>,
  ) {
    this.events = options.metrics.counter(
      'dogwoodtrestle_prompt_part_events_total',
      'Parts of prompts that this process as leader suspected, found answered, blocked or unblocked.',
    );
  }

  record({crashes = [], answeredParts = []}: WatchRequest): boolean {
    const {clock, logger} = this.options;
    const now = clock.now();
    const suspected = crashes.flatMap(crash => this.recordCrash(crash, now));
    for (const part of answeredParts) this.recordAnswer(part, now);
    if (suspected.length > 0) {
      this.events.add({event: 'suspected'}, suspected.length);
      logger.info({parts: suspected}, 'prompt parts suspected');
      const {answerMilliseconds} = defaultCrashingPartsOptions;
      clock.setTimer(answerMilliseconds, () => this.decide());
    }
    this.decide();
    return suspected.length > 0;
  }

  notice({blockedRevision}: WatchRequest): Partial<WatchUpdate> {
    const suspectParts = this.parts.suspects();
    const blockedParts = this.state.blockedParts.state;
    const trialParts = this.takeTrials();
    return {
      ...(suspectParts.length > 0 && {suspectParts}),
      ...(blockedParts.revision !== (blockedRevision ?? 0) && {blockedParts}),
      ...(trialParts.length > 0 && {trialParts}),
    };
  }

  /** Returns parts that are suspected since this crash. */
  private recordCrash(crash: CrashReport, now: number): string[] {
    const open = crash.parts.filter(({id, workspaces}) => {
      const blocked = this.state.blockedParts.find(id);
      if (blocked === undefined) return true;
      const isOther = workspaces.some(name => name !== blocked.workspace);
      if (blocked.workspace !== undefined && isOther) {
        void this.propose({kind: 'blockPart', part: id, crashes: 1});
      }
      return false;
    });
    return this.parts.record({...crash, parts: open}, now);
  }

  private recordAnswer(part: string, now: number): void {
    this.parts.recordAnswer(part, now);
    this.events.add({event: 'answered'});
    if (this.state.blockedParts.find(part) === undefined) return;
    this.options.logger.info({part}, 'blocked prompt part was answered whole');
    void this.propose({kind: 'unblockPart', part});
  }

  private decide(): void {
    if (!this.group.isLeader) return;
    for (const found of this.parts.decided(this.options.clock.now())) {
      void this.block(found);
    }
  }

  private async block(found: CrashingPart): Promise<void> {
    const {part, workspace, crashes, servers} = found;
    if (this.pending.has(part)) return;
    this.options.logger.warn(
      {part, workspace, crashes, servers},
      'prompt part crashes servers',
    );
    const command: BlockPart = {kind: 'blockPart', part, workspace, crashes};
    if (await this.propose(command)) this.parts.forget(part);
  }

  /** Returns whether the change is recorded; the evidence stays if it isn't. */
  private async propose(command: BlockPart | UnblockPart): Promise<boolean> {
    const {part, kind} = command;
    if (this.pending.has(part)) return false;
    this.pending.add(part);
    try {
      await this.group.replica.propose([command]);
      const event = kind === 'blockPart' ? 'blocked' : 'unblocked';
      this.events.add({event});
      this.options.onNews();
      return true;
    } catch (error) {
      this.options.logger.warn(
        {err: error, part, kind},
        'change of a prompt part was not recorded',
      );
      return false;
    } finally {
      this.pending.delete(part);
    }
  }

  /** Returns the parts whose trial is due; the asking router gets it. */
  private takeTrials(): string[] {
    const {clock, logger} = this.options;
    const now = clock.now();
    const {parts} = this.state.blockedParts.state;
    for (const part of this.trials.keys()) {
      if (this.state.blockedParts.find(part) === undefined) {
        this.trials.delete(part);
      }
    }
    return parts.flatMap(({part}) => {
      const known = this.trials.get(part);
      const trial = known ?? {
        dueAt: now + trialIntervalMilliseconds,
        intervalMilliseconds: trialIntervalMilliseconds,
      };
      this.trials.set(part, trial);
      if (now < trial.dueAt) return [];
      trial.intervalMilliseconds = Math.min(
        maxTrialIntervalMilliseconds,
        trial.intervalMilliseconds * 2,
      );
      trial.dueAt = now + trial.intervalMilliseconds;
      logger.info({part}, 'one request with a blocked prompt part is allowed');
      return [part];
    });
  }
}
