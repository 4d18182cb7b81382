/**
 * @fileoverview What this router knows of requests and of the parts of prompts:
 * those that were answered whole recently, those that the leader suspects to
 * crash servers, and those that are blocked.
 */
import {isRefusedBy} from '@dogwoodtrestle/fleet';
import {type Clock, type Logger} from '@dogwoodtrestle/runtime';
import {type BlockedPart, type WatchUpdate} from '@dogwoodtrestle/schema';

import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** Time for which an answer shows that its subjects are harmless. */
const answeredMilliseconds = 30_000;

/** Most subjects of which the newest answer is remembered. */
const maxAnsweredSubjects = 10_000;

/** Longest subject that is followed; others can't be reported. */
const maxSubjectCharacters = 128;

/** Time for which this router may send the one request of a trial. */
const trialMilliseconds = 5_000;

/** Most answered subjects in a report. */
const maxReportedSubjects = 1_000;

/** A request that may be blocked. */
export interface GuardedRequest {
  /** What may crash servers: the request, and the parts of its prompt. */
  subjects: readonly string[];
  /** Empty for a request without a workspace. */
  workspace: string;
  /** Blocked subjects for which it is the one request of a trial. */
  trials: Set<string>;
}

/** Knowledge of subjects. Times are monotonic, in milliseconds. */
export class CrashSubjects implements WatchTopic {
  private readonly answeredAt = new Map<string, number>();
  private suspects: ReadonlySet<string> = new Set();
  private blocked: ReadonlyMap<string, BlockedPart> = new Map();
  private revision = 0;
  /** End of this router's trial, by subject. */
  private readonly trials = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Returns the subject for which a request must not be sent, if there is one.
   * The first request during a trial is allowed, and noted as that of the trial.
   */
  findBlocked({
    subjects,
    workspace,
    trials,
  }: GuardedRequest): string | undefined {
    if (this.blocked.size === 0) return undefined;
    return subjects.find(subject => {
      const block = this.blocked.get(subject);
      if (block === undefined || !isRefusedBy(block, subjects)) return false;
      const isOther =
        block.workspace !== undefined && block.workspace !== workspace;
      if (isOther || trials.has(subject)) return false;
      if (!this.takeTrial(subject)) return true;
      trials.add(subject);
      return false;
    });
  }

  /** Whether a request or a part of it is suspected to crash servers. */
  isSuspect({subjects}: Pick<GuardedRequest, 'subjects'>): boolean {
    return subjects.some(subject => this.suspects.has(subject));
  }

  /** Records a whole answer with these subjects. */
  recordAnswer(subjects: readonly string[]): void {
    const now = this.clock.now();
    for (const subject of subjects) {
      if (subject.length > maxSubjectCharacters) continue;
      this.answeredAt.delete(subject);
      this.answeredAt.set(subject, now);
      if (this.answeredAt.size <= maxAnsweredSubjects) continue;
      const [oldest] = this.answeredAt.keys();
      this.answeredAt.delete(oldest ?? '');
    }
  }

  report(): WatchReport {
    const oldest = this.clock.now() - answeredMilliseconds;
    const known = [...this.blocked.values()].flatMap(
      ({part, companions = []}) => [part, ...companions],
    );
    const answeredParts = [...new Set([...this.suspects, ...known])]
      .filter(subject => (this.answeredAt.get(subject) ?? -Infinity) >= oldest)
      .slice(0, maxReportedSubjects);
    return {
      fields: {
        blockedRevision: this.revision,
        ...(answeredParts.length > 0 && {answeredParts}),
      },
    };
  }

  apply({suspectParts = [], blockedParts, trialParts = []}: WatchUpdate): void {
    this.suspects = new Set(suspectParts);
    if (blockedParts !== undefined) {
      const {revision, parts} = blockedParts;
      this.revision = revision;
      this.blocked = new Map(parts.map(block => [block.part, block]));
      this.logger.info(
        {
          revision,
          subjects: parts.map(({part}) => part),
          joint: parts.filter(({companions}) => companions !== undefined),
        },
        'blocked subjects changed',
      );
    }
    const trialUntil = this.clock.now() + trialMilliseconds;
    for (const subject of trialParts) this.trials.set(subject, trialUntil);
  }

  private takeTrial(subject: string): boolean {
    const until = this.trials.get(subject);
    if (until === undefined) return false;
    this.trials.delete(subject);
    return this.clock.now() < until;
  }
}
