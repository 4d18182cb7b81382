/**
 * @fileoverview Recalls unused grants from reachable holders before a request is
 * refused because its budget is exhausted.
 */
import {
  type GrantHolder,
  type RecallReply,
  type RecallRequest,
} from '@dogwoodtrestle/schema';

/** Options of grant recalls. */
export interface GrantRecallOptions {
  /** Calls one holder; rejects if it doesn't answer in time. */
  sendRecall: (holder: string, request: RecallRequest) => Promise<RecallReply>;
}

/** Recalls grants; joins concurrent recalls of the same grants. */
export class GrantRecall {
  private readonly running = new Map<string, Promise<boolean>>();

  constructor(private readonly options: GrantRecallOptions) {}

  /** Resolves with whether any holder was reached. */
  async recall(holders: GrantHolder[]): Promise<boolean> {
    const byHolder = new Map<string, string[]>();
    for (const {holder, grantId} of holders) {
      byHolder.set(holder, [...(byHolder.get(holder) ?? []), grantId]);
    }
    const reached = await Promise.all(
      [...byHolder].map(([holder, grantIds]) =>
        this.recallOnce(holder, grantIds),
      ),
    );
    return reached.includes(true);
  }

  private recallOnce(holder: string, grantIds: string[]): Promise<boolean> {
    const key = [holder, ...grantIds].join(' ');
    const running = this.running.get(key);
    if (running !== undefined) return running;
    const started = this.recallFrom(holder, grantIds).finally(() =>
      this.running.delete(key),
    );
    this.running.set(key, started);
    return started;
  }

  private async recallFrom(
    holder: string,
    grantIds: string[],
  ): Promise<boolean> {
    try {
      await this.options.sendRecall(holder, {grantIds});
      return true;
    } catch {
      return false; // an unreachable holder keeps its grants
    }
  }
}
