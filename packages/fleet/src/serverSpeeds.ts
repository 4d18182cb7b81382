/**
 * @fileoverview Estimates how fast each server of a service answers, from sums
 * that several routers can add up.
 *
 * Load pattern: servers of one service differ in speed, turn slow, or are new,
 * and prompts differ in length by two orders of magnitude. One linear model of
 * the service gives the time to the first event of a prompt. A server's slowness
 * is the ratio of its times to the service's mean: of the pauses between events
 * where it sends streams, since the times to the first event depend on the queue
 * and on single long prompts far more than on the server; or else of the times of
 * whole responses. Both grow with the load, so a server that gets too much work
 * counts as slow and gets less.
 */

/** Decayed sums over responses. Times are in milliseconds. */
export interface SpeedSums {
  /** Number of responses. */
  count: number;
  /** Prompt tokens. */
  tokens: number;
  /** Times to the first event, or to the answer where it is no stream. */
  milliseconds: number;
  /** Squares of the tokens. */
  tokensSquared: number;
  /** Products of tokens and times. */
  tokenMilliseconds: number;
  /** Requests that the server refused as it was full. */
  refusals: number;
  /** Pauses between events of streams. */
  gaps: number;
  /** Duration of these pauses. */
  gapMilliseconds: number;
}

/** Time that a server of average speed takes to the first event. */
export interface ResponseModel {
  baseMilliseconds: number;
  millisecondsPerToken: number;
  /** Mean pause between events; 0 for a service without streams. */
  gapMilliseconds: number;
}

/** Options of the estimates. */
export interface ServerSpeedsOptions {
  /** Time constant with which samples lose weight. */
  decayMilliseconds: number;
  /** Responses at the service's mean that each server is assumed to have. */
  priorCount: number;
  /** Pauses at the service's mean that each server is assumed to have. */
  priorGaps: number;
  /** Limit of the slowness, and of its inverse. */
  maxSlowness: number;
}

/** Default options. */
export const defaultServerSpeedsOptions: ServerSpeedsOptions = {
  decayMilliseconds: 6_000,
  priorCount: 4,
  priorGaps: 100,
  maxSlowness: 8,
};

/** Model until responses show another one: an engine of usual size. */
export const initialResponseModel: ResponseModel = {
  baseMilliseconds: 20,
  millisecondsPerToken: 0.0125,
  gapMilliseconds: 0,
};

/** Least number of samples from which a model is fitted. */
const minFittedCount = 8;

/** Least part of the mean time that doesn't depend on the prompt. */
const minBaseShare = 0.05;

/** Returns sums without samples. */
export function emptySums(): SpeedSums {
  return {
    count: 0,
    tokens: 0,
    milliseconds: 0,
    tokensSquared: 0,
    tokenMilliseconds: 0,
    refusals: 0,
    gaps: 0,
    gapMilliseconds: 0,
  };
}

/** Prompt tokens beyond which a caller's statement isn't believed. */
const maxSampledTokens = 1_000_000;

/**
 * Returns the sums of one response's time.
 *
 * @param statedTokens Prompt tokens, as the caller states them.
 */
export function sampleSums(
  statedTokens: number,
  milliseconds: number,
): SpeedSums {
  const tokens = Math.min(statedTokens, maxSampledTokens);
  return {
    count: 1,
    tokens,
    milliseconds,
    tokensSquared: tokens * tokens,
    tokenMilliseconds: tokens * milliseconds,
    refusals: 0,
    gaps: 0,
    gapMilliseconds: 0,
  };
}

/** Returns the sums of the pauses between the events of one stream. */
export function gapSums(gaps: number, gapMilliseconds: number): SpeedSums {
  return {...emptySums(), gaps, gapMilliseconds};
}

/** Adds sums to others. */
export function addSums(target: SpeedSums, added: SpeedSums): void {
  target.count += added.count;
  target.tokens += added.tokens;
  target.milliseconds += added.milliseconds;
  target.tokensSquared += added.tokensSquared;
  target.tokenMilliseconds += added.tokenMilliseconds;
  target.refusals += added.refusals;
  target.gaps += added.gaps;
  target.gapMilliseconds += added.gapMilliseconds;
}

function scaleSums(sums: SpeedSums, factor: number): void {
  sums.count *= factor;
  sums.tokens *= factor;
  sums.milliseconds *= factor;
  sums.tokensSquared *= factor;
  sums.tokenMilliseconds *= factor;
  sums.refusals *= factor;
  sums.gaps *= factor;
  sums.gapMilliseconds *= factor;
}

/** Sums whose samples lose weight over time. */
export class DecayingSums {
  private readonly sums = emptySums();
  private updatedAt = -Infinity;

  constructor(
    private readonly decayMilliseconds = defaultServerSpeedsOptions.decayMilliseconds,
  ) {}

  add(added: SpeedSums, now: number): void {
    addSums(this.at(now), added);
  }

  /** Returns the sums at a time that isn't before an earlier one. */
  at(now: number): SpeedSums {
    const elapsed = Math.max(0, now - this.updatedAt);
    if (elapsed > 0) {
      scaleSums(this.sums, Math.exp(-elapsed / this.decayMilliseconds));
      this.updatedAt = now;
    }
    return this.sums;
  }
}

/** Fits the model of a service to the sums of all of its servers. */
export function fitResponseModel(sums: SpeedSums): ResponseModel {
  const gapMilliseconds = sums.gaps > 0 ? sums.gapMilliseconds / sums.gaps : 0;
  return {...fitTimes(sums), gapMilliseconds};
}

/** Fits a line to the times to the first event, by least squares. */
function fitTimes({
  count,
  tokens,
  milliseconds,
  tokensSquared,
  tokenMilliseconds,
}: SpeedSums): ResponseModel {
  if (count < minFittedCount) return initialResponseModel;
  const mean = milliseconds / count;
  const variance = tokensSquared - (tokens * tokens) / count;
  const covariance = tokenMilliseconds - (tokens * milliseconds) / count;
  // Prompts of one length, as of a service without an engine.
  const isConstant = variance <= tokensSquared * Number.EPSILON * count;
  const slope = isConstant ? 0 : Math.max(0, covariance / variance);
  const base = mean - (slope * tokens) / count;
  const minBase = mean * minBaseShare;
  const isPlausible = base >= minBase || tokens === 0;
  return {
    ...initialResponseModel,
    baseMilliseconds: isPlausible ? base : minBase,
    millisecondsPerToken: isPlausible
      ? slope
      : (milliseconds - minBase * count) / tokens,
  };
}

/** Returns the expected time to the first event at a server of average speed. */
export function expectedMilliseconds(
  {baseMilliseconds, millisecondsPerToken}: ResponseModel,
  tokens: number,
): number {
  return baseMilliseconds + millisecondsPerToken * tokens;
}

/** Returns a server's times as a multiple of those of the model. */
export function slownessOf(
  sums: SpeedSums,
  model: ResponseModel,
  options: Partial<ServerSpeedsOptions> = {},
): number {
  const {priorCount, priorGaps, maxSlowness} = {
    ...defaultServerSpeedsOptions,
    ...options,
  };
  const ratio =
    model.gapMilliseconds > 0
      ? ratioTo(sums.gapMilliseconds, {
          expected: sums.gaps * model.gapMilliseconds,
          prior: priorGaps * model.gapMilliseconds,
        })
      : ratioTo(sums.milliseconds, {
          expected:
            sums.count * model.baseMilliseconds +
            sums.tokens * model.millisecondsPerToken,
          prior: priorCount * model.baseMilliseconds,
        });
  return Math.min(maxSlowness, Math.max(1 / maxSlowness, ratio));
}

/** Returns the ratio of a time to the expected one, drawn towards 1. */
function ratioTo(
  milliseconds: number,
  {expected, prior}: {expected: number; prior: number},
): number {
  const total = expected + prior;
  return total > 0 ? (milliseconds + prior) / total : 1;
}

/** Returns the share of a server's attempts that it refused as full. */
export function refusalShareOf(
  {count, refusals}: SpeedSums,
  options: Partial<ServerSpeedsOptions> = {},
): number {
  const {priorCount} = {...defaultServerSpeedsOptions, ...options};
  return refusals / (count + refusals + priorCount);
}
