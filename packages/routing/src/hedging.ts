/**
 * @fileoverview Decides whether to hedge a slow first attempt with a second one.
 * The caller receives, and is billed for, whichever answers first.
 */

/** Conditions for a second attempt. */
export interface HedgingOptions {
  /** The first attempt must be slower than this quantile of recent times. */
  quantile: number;
  /** Minimum number of recent times to first token. */
  minimumSamples: number;
  /** Maximum utilisation of the server of the second attempt. */
  maximumUtilisation: number;
}

/** Default conditions. */
export const defaultHedgingOptions: HedgingOptions = {
  quantile: 0.95,
  minimumSamples: 50,
  maximumUtilisation: 0.7,
};

/** State of a request and of the server for a second attempt. */
export interface HedgingInput {
  /** Whether running the request twice has no effect beyond its cost. */
  idempotent: boolean;
  /** Whether any part of the response has reached the caller. */
  hasOutput: boolean;
  /** Attempts so far, including running ones. */
  attemptCount: number;
  /** Time since the first attempt was sent. */
  waitedMilliseconds: number;
  /** Time until the request's deadline. */
  remainingMilliseconds: number;
  /**
   * Recent times to first token in ascending order. Only those of prompts of
   * similar length, because longer prompts take longer.
   */
  recentFirstTokenMilliseconds: readonly number[];
  /** Utilisation of the server for the second attempt, if there is one. */
  alternativeUtilisation?: number;
  /** Whether the losing attempt can be cancelled once the other answers. */
  cancellable: boolean;
  /** Takes a retry from the budget; called only if all else allows it. */
  takeRetry: () => boolean;
}

/** Whether to hedge and, if not, why. */
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

/** Decides on a second attempt while the first one is running. */
export function decideHedging(
  input: HedgingInput,
  options: Partial<HedgingOptions> = {},
): HedgingDecision {
  const {quantile, minimumSamples, maximumUtilisation} = {
    ...defaultHedgingOptions,
    ...options,
  };
  const samples = input.recentFirstTokenMilliseconds;
  const median = samples[Math.floor((samples.length - 1) / 2)] ?? 0;
  const threshold = samples[Math.floor((samples.length - 1) * quantile)] ?? 0;
  const refuse = (why: Extract<HedgingDecision, {hedge: false}>['why']) =>
    ({hedge: false, why}) as const;
  if (!input.idempotent) return refuse('notIdempotent');
  if (input.hasOutput) return refuse('answering');
  if (input.attemptCount > 1) return refuse('alreadyHedged');
  if (!input.cancellable) return refuse('notCancellable');
  if (samples.length < minimumSamples) return refuse('tooFewSamples');
  if (input.waitedMilliseconds <= threshold) return refuse('notSlow');
  if (input.remainingMilliseconds <= median) return refuse('noTimeLeft');
  if ((input.alternativeUtilisation ?? Infinity) > maximumUtilisation) {
    return refuse('noRoom');
  }
  return input.takeRetry() ? {hedge: true} : refuse('retryBudgetUsedUp');
}
