/**
 * @fileoverview Holds callers to the rate and concurrency of their contracts.
 */
import {
  ConcurrencyLimiter,
  type LimitDecision,
  RateLimiter,
  type Target,
} from '@dogwoodtrestle/routing';

import {type AdmissionGate} from './admissionGate.js';
import {type RequestDependencies} from './dependencies.js';
import {refusal} from './refusal.js';
import {type Caller, type RequestScope} from './requestScope.js';

/** Lets requests in within the limits of their contracts. */
export class ContractLimiter {
  private readonly rates = new RateLimiter();
  private readonly concurrency = new ConcurrencyLimiter();

  constructor(
    private readonly dependencies: RequestDependencies,
    private readonly gate: AdmissionGate,
  ) {}

  /**
   * Lets a request in.
   *
   * @returns A function to call once the request has ended.
   * @throws RefusalError with the time to come back.
   */
  async acquire(
    {view, workspace}: Caller,
    scope: RequestScope,
    target: Target,
  ): Promise<() => void> {
    const limited = {
      customer: view.contract.customer,
      customerLimits: view.contract.limits,
      workspace: workspace.name,
      workspaceLimits: workspace.limits,
    };
    this.check(
      'rateLimited',
      this.rates.take(limited, this.dependencies.now()),
      scope,
    );
    this.check('concurrencyLimited', this.concurrency.acquire(limited), scope);
    try {
      const leave = await this.gate.acquire({
        customer: limited.customer,
        workspace: limited.workspace,
        priority: view.contract.priority,
        target,
      });
      return once(() => {
        this.concurrency.release(limited);
        leave();
      });
    } catch (error) {
      this.concurrency.release(limited);
      throw error;
    }
  }

  private check(
    reason: 'rateLimited' | 'concurrencyLimited',
    decision: LimitDecision,
    {explanation}: RequestScope,
  ): void {
    if (decision.allowed) return;
    const {scope, retryAfterMilliseconds} = decision;
    explanation.add('limit', {reason, scope, retryAfterMilliseconds});
    throw refusal(reason, {
      retryAfterSeconds: Math.ceil(retryAfterMilliseconds / 1000),
    });
  }
}

/** Wraps a function so that only its first call has an effect. */
function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
