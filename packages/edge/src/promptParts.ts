/**
 * @fileoverview What this router knows of the parts of prompts: those that were
 * answered whole recently, those that the leader suspects to crash servers, and
 * those that are blocked.
 */
import {type Clock, type Logger} from '@dogwoodtrestle/runtime';
import {type BlockedPart, type WatchUpdate} from '@dogwoodtrestle/schema';

import {type WatchReport, type WatchTopic} from './watchTopic.js';

/** Time for which an answer shows that the parts of its prompt are harmless. */
const answeredMilliseconds = 30_000;

/** Most parts of which the newest answer is remembered. */
const maxAnsweredParts = 5_000;

/** Longest id of a part that is followed; others can't be reported. */
const maxPartCharacters = 128;

/** Time for which this router may send the one request of a trial. */
const trialMilliseconds = 5_000;

/** Most answered parts in a report. */
const maxReportedParts = 1_000;

/** A prompt that may be blocked. */
export interface GuardedPrompt {
  /** Ids of the parts that other prompts may share. */
  parts: readonly string[];
  /** Empty for a request without a workspace. */
  workspace: string;
  /** Blocked parts for which it is the one request of a trial. */
  trials: Set<string>;
}

/** Knowledge of prompt parts. Times are monotonic, in milliseconds. */
export class PromptParts implements WatchTopic {
  private readonly answeredAt = new Map<string, number>();
  private suspects: ReadonlySet<string> = new Set();
  private blocked: ReadonlyMap<string, BlockedPart> = new Map();
  private revision = 0;
  /** End of this router's trial, by part. */
  private readonly trials = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Returns the part for which a prompt must not be sent, if there is one. The
   * first prompt during a trial is allowed, and noted as that of the trial.
   */
  findBlocked({parts, workspace, trials}: GuardedPrompt): string | undefined {
    if (this.blocked.size === 0) return undefined;
    return parts.find(part => {
      const block = this.blocked.get(part);
      if (block === undefined) return false;
      const isOther =
        block.workspace !== undefined && block.workspace !== workspace;
      if (isOther || trials.has(part)) return false;
      if (!this.takeTrial(part)) return true;
      trials.add(part);
      return false;
    });
  }

  /** Whether a part of a prompt is suspected to crash servers. */
  isSuspect({parts}: Pick<GuardedPrompt, 'parts'>): boolean {
    return parts.some(part => this.suspects.has(part));
  }

  /** Records a whole answer to a prompt with these parts. */
  recordAnswer(parts: readonly string[]): void {
    const now = this.clock.now();
    for (const part of parts) {
      if (part.length > maxPartCharacters) continue;
      this.answeredAt.delete(part);
      this.answeredAt.set(part, now);
      if (this.answeredAt.size <= maxAnsweredParts) continue;
      const [oldest] = this.answeredAt.keys();
      this.answeredAt.delete(oldest ?? '');
    }
  }

  report(): WatchReport {
    const oldest = this.clock.now() - answeredMilliseconds;
    const answeredParts = [...this.suspects, ...this.blocked.keys()]
      .filter(part => (this.answeredAt.get(part) ?? -Infinity) >= oldest)
      .slice(0, maxReportedParts);
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
        {revision, parts: parts.map(({part}) => part)},
        'blocked prompt parts changed',
      );
    }
    const trialUntil = this.clock.now() + trialMilliseconds;
    for (const part of trialParts) this.trials.set(part, trialUntil);
  }

  private takeTrial(part: string): boolean {
    const until = this.trials.get(part);
    if (until === undefined) return false;
    this.trials.delete(part);
    return this.clock.now() < until;
  }
}
