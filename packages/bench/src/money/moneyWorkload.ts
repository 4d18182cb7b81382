/** @fileoverview Deterministic workload that nearly exhausts each budget. */
import {exponential, seededRandom, weightedIndex} from '../util/random.js';
import {type MoneySetting, type RequestKind} from './moneySetting.js';

const millisecondsPerSecond = 1000;
const millisecondsPerToken = 15;
const firstTokenMilliseconds = 400;
/** Maximum number of tokens that the chat template adds to a prompt. */
const templateTokens = 64;
/** Total payments as a fraction of the actual demand. */
const paidFraction = 0.95;
/** Fraction of the payments that arrives as a top-up. */
const topUpFraction = 0.2;

/** Upper bound on input tokens that a reservation assumes. */
export type InputBound = 'bytes' | 'half of the bytes' | 'exact';

/** A request of the workload; costs in micros. */
export interface MoneyRequest {
  id: number;
  /** Arrival time in milliseconds. */
  at: number;
  customer: string;
  router: number;
  cost: number;
  maximumCost: number;
  durationMilliseconds: number;
}

/** Payments of one customer in micros. */
export interface Payments {
  prepaid: number;
  topUp: number;
}

/** Requests in order of arrival, and the payments of each customer. */
export interface MoneyWorkload {
  requests: MoneyRequest[];
  payments: Map<string, Payments>;
  durationMilliseconds: number;
}

/** Options of a workload. */
export interface WorkloadOptions {
  seed: number;
  durationMilliseconds: number;
  inputBound: InputBound;
}

const inputTokenBounds: Record<
  InputBound,
  (bytes: number, tokens: number) => number
> = {
  bytes: bytes => bytes + templateTokens,
  'half of the bytes': bytes => Math.ceil(bytes / 2) + templateTokens,
  exact: (_bytes, tokens) => tokens,
};

/** Generates a workload; the same options yield the same requests. */
export function generateWorkload(
  setting: MoneySetting,
  options: WorkloadOptions,
): MoneyWorkload {
  const random = seededRandom(options.seed);
  const requests: MoneyRequest[] = [];
  const demand = new Map<string, number>();
  const rate = setting.requestsPerSecond / millisecondsPerSecond;
  let at = exponential(rate, random);
  while (at < options.durationMilliseconds) {
    const request = generateRequest(
      setting,
      options,
      random,
      requests.length,
      at,
    );
    requests.push(request);
    const {customer, cost} = request;
    demand.set(customer, (demand.get(customer) ?? 0) + cost);
    at += exponential(rate, random);
  }
  const payments = new Map(
    [...demand].map(([customer, cost]) => [customer, createPayments(cost)]),
  );
  const {durationMilliseconds} = options;
  return {requests, payments, durationMilliseconds};
}

function createPayments(demand: number): Payments {
  const paid = Math.floor(demand * paidFraction);
  const topUp = Math.floor(paid * topUpFraction);
  return {prepaid: paid - topUp, topUp};
}

function generateRequest(
  setting: MoneySetting,
  {inputBound}: WorkloadOptions,
  random: () => number,
  id: number,
  at: number,
): MoneyRequest {
  const {kinds, customerWeights, routers, inputPrice, outputPrice} = setting;
  const kind = kinds[weightedIndex(weightsOf(kinds), random)]!;
  const customer = `customer-${weightedIndex(customerWeights, random)}`;
  const router = Math.floor(random() * routers.length);
  const bytes = Math.ceil(kind.promptBytes * (0.5 + random()));
  const inputTokens = Math.ceil(bytes / setting.bytesPerToken) + templateTokens;
  const outputTokens = Math.min(
    kind.maximumOutputTokens,
    Math.ceil(kind.outputTokens * (0.5 + random())),
  );
  const maxInputTokens = inputTokenBounds[inputBound](bytes, inputTokens);
  return {
    id,
    at,
    customer,
    router,
    cost: inputTokens * inputPrice + outputTokens * outputPrice,
    maximumCost:
      maxInputTokens * inputPrice + kind.maximumOutputTokens * outputPrice,
    durationMilliseconds:
      firstTokenMilliseconds + outputTokens * millisecondsPerToken,
  };
}

function weightsOf(kinds: RequestKind[]): number[] {
  return kinds.map(({weight}) => weight);
}
