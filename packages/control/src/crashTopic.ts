/**
 * @fileoverview Crashes of backend servers in the watch call: routers report
 * what was open at them, and the leader blocks requests and parts of prompts that
 * crash servers. Blocks are in the replicated log; evidence is in memory, and
 * routers report it again to a new leader.
 *
 * From time to time one router may send one request with a blocked subject, to
 * see whether servers still crash.
 */
import {
  type CrashingSubject,
  CrashingSubjects,
  type CrashSubjectKind,
  defaultCrashingSubjectsOptions,
  type FleetState,
  isRefusedBy,
  type ServerDirectory,
  subjectKind,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Logger,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';
import {
  type BlockedPart,
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

/**
 * Time after a crash up to which an announcement of the server may have been sent
 * before it. A later one disproves the crash.
 */
const lateAnnouncementMilliseconds = 1_000;

/** Time after a block in which the crashes that led to it may be disproved. */
const disproofMilliseconds = 30_000;

/** Log message for a subject that is about to be blocked. */
const crashMessages: Readonly<Record<CrashSubjectKind, string>> = {
  part: 'prompt part crashes servers',
  request: 'request crashes servers',
};

/** Options of the topic. */
export interface CrashTopicOptions {
  clock: Clock;
  logger: Logger;
  metrics: MetricsRegistry;
  /** Called when routers have to be told something at once. */
  onNews: () => void;
}

/** The crashes that led to a block. */
interface BlockEvidence {
  /** Incarnations of servers, as `id@start`. */
  servers: Set<string>;
  blockedAt: number;
}

/** When the next trial of a blocked subject is due. */
interface Trial {
  /** Monotonic time in milliseconds. */
  dueAt: number;
  intervalMilliseconds: number;
}

/** Joins the routers' evidence, and blocks and unblocks subjects. */
export class CrashTopic implements WatchTopic {
  private readonly subjects = new CrashingSubjects();
  private readonly trials = new Map<string, Trial>();
  /** By blocked subject, for blocks of this process as the leader. */
  private readonly evidence = new Map<string, BlockEvidence>();
  /** Subjects of which a change is being recorded. */
  private readonly pending = new Set<string>();
  private readonly events: Counter;

  constructor(
    private readonly options: CrashTopicOptions,
    private readonly group: Pick<ReplicaGroup, 'isLeader' | 'replica'>,
    private readonly state: Pick<FleetState, 'blockedParts'>,
    private readonly directory: Pick<ServerDirectory, 'announcedAt'>,
  ) {
    this.events = options.metrics.counter(
      'dogwoodtrestle_crash_subject_events_total',
      'Requests and parts of prompts that this process as leader suspected, found answered, blocked or unblocked, by kind.',
    );
  }

  record({crashes = [], answeredParts = []}: WatchRequest): boolean {
    const {clock, logger} = this.options;
    const now = clock.now();
    const suspected = crashes.flatMap(crash => this.recordCrash(crash, now));
    for (const subject of answeredParts) this.recordAnswer(subject, now);
    if (suspected.length > 0) {
      for (const subject of suspected) this.count('suspected', subject);
      logger.info({subjects: suspected}, 'subjects suspected to crash servers');
      const {answerMilliseconds} = defaultCrashingSubjectsOptions;
      clock.setTimer(answerMilliseconds, () => this.decide());
    }
    this.decide();
    return suspected.length > 0;
  }

  notice({blockedRevision}: WatchRequest): Partial<WatchUpdate> {
    const suspectParts = this.subjects.suspects();
    const blockedParts = this.state.blockedParts.state;
    const trialParts = this.takeTrials();
    return {
      ...(suspectParts.length > 0 && {suspectParts}),
      ...(blockedParts.revision !== (blockedRevision ?? 0) && {blockedParts}),
      ...(trialParts.length > 0 && {trialParts}),
    };
  }

  /** Returns subjects that are suspected since this crash. */
  private recordCrash(crash: CrashReport, now: number): string[] {
    let isExplained = false;
    for (const {id, workspaces} of crash.parts) {
      const blocked = this.state.blockedParts.find(id);
      if (blocked === undefined || !isExplainedBy(crash, blocked)) continue;
      isExplained = true;
      const isOther = workspaces.some(name => name !== blocked.workspace);
      if (blocked.workspace !== undefined && isOther) {
        const {companions} = blocked;
        void this.propose({
          kind: 'blockPart',
          part: id,
          crashes: 1,
          companions,
        });
      }
    }
    if (isExplained) {
      this.subjects.explain(crash, now);
      return [];
    }
    return this.subjects.record(crash, now);
  }

  private recordAnswer(subject: string, now: number): void {
    this.subjects.recordAnswer(subject, now);
    this.count('answered', subject);
    for (const blocked of this.state.blockedParts.state.parts) {
      const {part, companions = []} = blocked;
      if (part !== subject && !companions.includes(subject)) continue;
      this.options.logger.info({subject}, 'blocked subject was answered whole');
      void this.clear(subject, blocked);
    }
  }

  /** Removes a subject from a block; its companions stay blocked. */
  private async clear(subject: string, blocked: BlockedPart): Promise<void> {
    const {part, workspace, crashes, companions = []} = blocked;
    const rest = companions.filter(one => one !== subject);
    const kind = 'blockPart';
    if (part !== subject) {
      const change = {part, workspace, crashes: 0, companions: rest};
      await this.propose({kind, ...change});
      return;
    }
    const isUnblocked = await this.propose({kind: 'unblockPart', part});
    const next = rest.pop();
    if (next === undefined || !isUnblocked) return;
    await this.propose({
      kind,
      part: next,
      workspace,
      crashes,
      companions: rest,
    });
  }

  private count(event: string, subject: string): void {
    this.events.add({event, kind: subjectKind(subject)});
  }

  private decide(): void {
    if (!this.group.isLeader) return;
    this.removeDisproved();
    for (const found of this.subjects.decided(this.options.clock.now())) {
      void this.block(found);
    }
  }

  /** Removes crashes of servers that run, and lifts blocks that rest on them. */
  private removeDisproved(): void {
    const {clock, logger} = this.options;
    const disproved = this.subjects.removeDisproved(
      ({server, startedAt, at}) => {
        // A server that names no start may have started again.
        if (startedAt === 0) return false;
        const announcedAt = this.directory.announcedAt(server, startedAt) ?? 0;
        return announcedAt > at + lateAnnouncementMilliseconds;
      },
    );
    if (disproved.length > 0) {
      logger.warn(
        {servers: disproved},
        'servers that were taken for crashed are announced',
      );
    }
    const now = clock.now();
    for (const [subject, {servers, blockedAt}] of this.evidence) {
      for (const name of disproved) servers.delete(name);
      const needed = defaultCrashingSubjectsOptions.blockCrashes;
      if (servers.size < needed[subjectKind(subject)]) {
        this.evidence.delete(subject);
        if (this.state.blockedParts.find(subject) === undefined) continue;
        logger.warn({subject}, 'too few of the crashes of a block are left');
        void this.propose({kind: 'unblockPart', part: subject});
      } else if (now - blockedAt > disproofMilliseconds) {
        this.evidence.delete(subject);
      }
    }
  }

  private async block(found: CrashingSubject): Promise<void> {
    const {subject, workspace, crashes, companions} = found;
    if (this.pending.has(subject)) return;
    const known = this.state.blockedParts.find(subject)?.companions;
    // Its evidence is kept, so it is found again.
    if (known?.every(one => companions.includes(one)) === true) return;
    const {clock, logger} = this.options;
    logger.warn(found, crashMessages[subjectKind(subject)]);
    const command: BlockPart = {
      kind: 'blockPart',
      part: subject,
      workspace,
      crashes,
      ...(companions.length > 0 && {companions}),
    };
    const servers = new Set(found.servers);
    if (!(await this.propose(command))) return;
    this.evidence.set(subject, {servers, blockedAt: clock.now()});
    if (companions.length === 0) this.subjects.forget(subject, clock.now());
    else {
      this.subjects.recordJointBlock([subject, ...companions], clock.now());
    }
  }

  /** Returns whether the change is recorded; the evidence stays if it isn't. */
  private async propose(command: BlockPart | UnblockPart): Promise<boolean> {
    const {part, kind} = command;
    if (this.pending.has(part)) return false;
    this.pending.add(part);
    try {
      await this.group.replica.propose([command]);
      this.count(kind === 'blockPart' ? 'blocked' : 'unblocked', part);
      this.options.onNews();
      return true;
    } catch (error) {
      this.options.logger.warn(
        {err: error, subject: part, kind},
        'change of a blocked subject was not recorded',
      );
      return false;
    } finally {
      this.pending.delete(part);
    }
  }

  /** Returns the subjects whose trial is due; the asking router gets it. */
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
      logger.info(
        {subject: part},
        'one request with a blocked subject is allowed',
      );
      return [part];
    });
  }
}

/** Whether a request that a block refuses was open at a crash. */
function isExplainedBy(
  {parts}: CrashReport,
  blocked: Pick<BlockedPart, 'part' | 'companions'>,
): boolean {
  const prompts = parts.find(({id}) => id === blocked.part)?.prompts ?? [];
  return prompts.some(prompt => {
    const open = parts.filter(part => part.prompts.includes(prompt));
    return isRefusedBy(
      blocked,
      open.map(({id}) => id),
    );
  });
}
