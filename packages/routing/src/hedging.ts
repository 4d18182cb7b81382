/**
 * @fileoverview Whether to send a second attempt beside a slow first one. The
 * caller gets, and is billed for, the first of the two that answers.
 */

export interface HedgingOptions {
  /** The first attempt must be slower than this quantile of recent ones. */
  quantile: number;
  /** Recent first-token times needed before hedging starts. */
  minimumSamples: number;
  /** No second attempt where the alternative is fuller than this. */
  maximumUtilisation: number;
}

export const defaultHedgingOptions: HedgingOptions = {
  quantile: 0.95,
  minimumSamples: 50,
  maximumUtilisation: 0.7,
};

export interface HedgingInput {
  /** Whether running the request twice has no effect beyond its cost. */
  idempotent: boolean;
  /** Whether any of the answer has reached the caller. */
  hasOutput: boolean;
  attemptCount: number;
  waitedMilliseconds: number;
  remainingMilliseconds: number;
  /**
   * Recent times to first token of prompts of about that length, in ascending
   * order. A long prompt isn’t slow for taking longer than a short one.
   */
  recentFirstTokenMilliseconds: readonly number[];
  /** Utilisation of the server that the second attempt would go to. */
  alternativeUtilisation?: number;
  /** Whether the slow attempt can be cancelled once the other answers. */
  cancellable: boolean;
  /** Takes a retry from the budget; asked last. */
  takeRetry: () => boolean;
}

export type HedgingDecision =
  | {hedge: true}
  | {
      hedge: false;
      why:
        | 'notIdempotent'
        | 'answering'
        | 'alreadyHedged'
        | 'notCancellable'
        | 'tooFewSamples'
        | 'notSlow'
        | 'noTimeLeft'
        | 'noRoom'
        | 'retryBudgetUsedUp';
    };

/** Decides on a second attempt for a request whose first one is under way. */
export function decideHedging(
  input: HedgingInput,
  options: Partial<HedgingOptions> = {},
): HedgingDecision {
  const {quantile, minimumSamples, maximumUtilisation} = {
    ...defaultHedgingOptions,
    ...options,
  };
  const samples = input.recentFirstTokenMilliseconds;
  const typical = samples[Math.floor((samples.length - 1) / 2)] ?? 0;
  const slow = samples[Math.floor((samples.length - 1) * quantile)] ?? 0;
  const refuse = (why: Extract<HedgingDecision, {hedge: false}>['why']) =>
    ({hedge: false, why}) as const;
  if (!input.idempotent) return refuse('notIdempotent');
  if (input.hasOutput) return refuse('answering');
  if (input.attemptCount > 1) return refuse('alreadyHedged');
  if (!input.cancellable) return refuse('notCancellable');
  if (samples.length < minimumSamples) return refuse('tooFewSamples');
  if (input.waitedMilliseconds <= slow) return refuse('notSlow');
  if (input.remainingMilliseconds <= typical) return refuse('noTimeLeft');
  if ((input.alternativeUtilisation ?? Infinity) > maximumUtilisation) {
    return refuse('noRoom');
  }
  return input.takeRetry() ? {hedge: true} : refuse('retryBudgetUsedUp');
}
