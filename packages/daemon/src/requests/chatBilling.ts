/**
 * @fileoverview Bills a chat request according to the outcome of its run.
 *
 * A request that the system could not complete is free. If the caller
 * disconnected, it pays for the reported usage, or else for the bound of the
 * input tokens.
 */
import {type RequestOutcome, type Usage} from '@dogwoodtrestle/schema';

import {
  type ChatResult,
  type ChatJob,
  type ChatProgress,
  type ChatRunParts,
} from './chatJob.js';
import {costOf} from './costBound.js';
import {usageOf} from './modelClient.js';

/** Settles one chat request. */
export class ChatBilling {
  constructor(
    private readonly parts: ChatRunParts,
    private readonly job: ChatJob,
    private readonly progress: ChatProgress,
  ) {}

  /**
   * Settles a request with a complete response. The cost never exceeds the
   * reservation, also if the backend server reports more.
   */
  async settle({outcome, usage}: ChatResult): Promise<void> {
    const {terms, bound, opened, context, explanation} = this.job;
    const {attempts, last} = this.progress;
    const reported =
      usage === undefined ? bound.maximumCost : costOf(terms, usage);
    const isOverReported =
      reported > bound.maximumCost || outcome === 'overReported';
    if (isOverReported) {
      this.parts.dependencies.logger.warn(
        {requestId: this.job.requestId, usage, bound},
        'backend server reported a higher cost than was reserved',
      );
    }
    const cost = Math.min(reported, bound.maximumCost);
    explanation.add('settlement', {outcome, usage, cost});
    await this.parts.settler.settle(
      opened,
      {
        cost,
        usage,
        outcome: isOverReported ? 'overReported' : outcome,
        backend: last?.backend.announcement.name,
        attempts,
      },
      context,
    );
  }

  /** Settles a request without a complete response. */
  async settleFailure(): Promise<void> {
    const {opened, context, signal} = this.job;
    const {attempts, last, wasSent} = this.progress;
    const isCancelled = signal.reason === 'callerLeft' && wasSent;
    const outcome: RequestOutcome = wasSent ? 'cutOff' : 'didNotRun';
    const billing = isCancelled
      ? await this.cancelledBilling()
      : {cost: 0, outcome};
    this.job.explanation.add('settlement', {...billing});
    await this.parts.settler.settle(
      opened,
      {
        ...billing,
        backend: last?.backend.announcement.name,
        attempts,
      },
      context,
    );
  }

  private async cancelledBilling(): Promise<{cost: number} & ChatResult> {
    const {terms, bound} = this.job;
    const usage = await this.reportedUsage();
    const cost = usage === undefined ? bound.unknownCost : costOf(terms, usage);
    return {
      cost: Math.min(cost, bound.maximumCost),
      usage,
      outcome: 'cancelled',
    };
  }

  private async reportedUsage(): Promise<Usage | undefined> {
    const {last} = this.progress;
    if (last === undefined) return undefined;
    if (!last.backend.announcement.features.attemptReport) return undefined;
    await this.parts.models.cancel(last.backend, last.attemptId);
    const report = await this.parts.models.report(last.backend, last.attemptId);
    return usageOf(report?.usage);
  }
}
