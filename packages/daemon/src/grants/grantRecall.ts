/**
 * @fileoverview Recalls unused grants from the holders that can be reached,
 * before a request is refused because a budget is exhausted.
 */
import {
  type GrantHolder,
  type RecallReply,
  type RecallRequest,
} from '@dogwoodtrestle/schema';

/** What a recall needs. */
export interface GrantRecallOptions {
  /** Asks one holder; rejects if it can't be reached in time. */
  sendRecall: (holder: string, request: RecallRequest) => Promise<RecallReply>;
}

/** Recalls grants; concurrent recalls of one holder's grants are shared. */
export class GrantRecall {
  private readonly running = new Map<string, Promise<boolean>>();

  constructor(private readonly options: GrantRecallOptions) {}

  /** Resolves with whether any holder could be reached. */
  async recall(holders: GrantHolder[]): Promise<boolean> {
    const byHolder = new Map<string, string[]>();
    for (const {holder, grantId} of holders) {
      byHolder.set(holder, [...(byHolder.get(holder) ?? []), grantId]);
    }
    const reached = await Promise.all(
      [...byHolder].map(([holder, grantIds]) => this.share(holder, grantIds)),
    );
    return reached.includes(true);
  }

  private share(holder: string, grantIds: string[]): Promise<boolean> {
    const key = [holder, ...grantIds].join(' ');
    const running = this.running.get(key);
    if (running !== undefined) return running;
    const started = this.ask(holder, grantIds).finally(() =>
      this.running.delete(key),
    );
    this.running.set(key, started);
    return started;
  }

  private async ask(holder: string, grantIds: string[]): Promise<boolean> {
    try {
      await this.options.sendRecall(holder, {grantIds});
      return true;
    } catch {
      return false; // a holder that can't be reached keeps its grants
    }
  }
}
