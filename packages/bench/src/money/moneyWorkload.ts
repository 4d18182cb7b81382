/** @fileoverview A fixed workload that comes near the end of each budget. */
import {exponential, seededRandom, weightedIndex} from '../util/random.js';
import {type MoneySetting, type RequestKind} from './moneySetting.js';

const millisecondsPerSecond = 1000;
const millisecondsPerToken = 15;
const firstTokenMilliseconds = 400;
/** Largest number of tokens that the template adds to a prompt. */
const templateTokens = 64;
/** Part of the true demand that is paid for in all. */
const paidPart = 0.95;
/** Part of the payments that comes as a top-up. */
const topUpPart = 0.2;

/** How the input of a request is bounded before it runs. */
export type InputBound = 'bytes' | 'half of the bytes' | 'exact';

/** A request of the workload; costs in micros. */
export interface MoneyRequest {
  id: number;
  /** Arrival in milliseconds. */
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

/** Requests in the order of their arrival, and what is paid for them. */
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

const boundedInput: Record<
  InputBound,
  (bytes: number, tokens: number) => number
> = {
  bytes: bytes => bytes + templateTokens,
  'half of the bytes': bytes => Math.ceil(bytes / 2) + templateTokens,
  exact: (_bytes, tokens) => tokens,
};

/** Draws a workload; the same options give the same requests. */
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
    const request = drawRequest(setting, options, random, requests.length, at);
    requests.push(request);
    const {customer, cost} = request;
    demand.set(customer, (demand.get(customer) ?? 0) + cost);
    at += exponential(rate, random);
  }
  const payments = new Map(
    [...demand].map(([customer, cost]) => [customer, paymentsOf(cost)]),
  );
  const {durationMilliseconds} = options;
  return {requests, payments, durationMilliseconds};
}

function paymentsOf(demand: number): Payments {
  const paid = Math.floor(demand * paidPart);
  const topUp = Math.floor(paid * topUpPart);
  return {prepaid: paid - topUp, topUp};
}

function drawRequest(
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
  const mostInput = boundedInput[inputBound](bytes, inputTokens);
  return {
    id,
    at,
    customer,
    router,
    cost: inputTokens * inputPrice + outputTokens * outputPrice,
    maximumCost:
      mostInput * inputPrice + kind.maximumOutputTokens * outputPrice,
    durationMilliseconds:
      firstTokenMilliseconds + outputTokens * millisecondsPerToken,
  };
}

function weightsOf(kinds: RequestKind[]): number[] {
  return kinds.map(({weight}) => weight);
}
