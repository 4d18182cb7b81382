/**
 * @fileoverview Enforces the rate and concurrency limits of contracts.
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

/** Admits requests within the limits of their contracts. */
export class ContractLimiter {
  private readonly rates = new RateLimiter();
  private readonly concurrency = new ConcurrencyLimiter();

  constructor(
    private readonly dependencies: RequestDependencies,
    private readonly gate: AdmissionGate,
  ) {}

  /**
   * Waits until a request is admitted.
   *
   * @returns A function that the caller runs once the request has ended; only
   *     its first call has an effect.
   * @throws RefusalError if a limit is reached or the request is shed, with the
   *     time after which to retry.
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
    this.enforce(
      'rateLimited',
      this.rates.take(limited, this.dependencies.now()),
      scope,
    );
    this.enforce(
      'concurrencyLimited',
      this.concurrency.acquire(limited),
      scope,
    );
    try {
      const release = await this.gate.acquire({
        customer: limited.customer,
        workspace: limited.workspace,
        priority: view.contract.priority,
        target,
      });
      return once(() => {
        this.concurrency.release(limited);
        release();
      });
    } catch (error) {
      this.concurrency.release(limited);
      throw error;
    }
  }

  private enforce(
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
