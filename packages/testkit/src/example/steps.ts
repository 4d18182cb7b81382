/**
 * @fileoverview The calls of the example: each step makes one call and checks
 * its response.
 */
import {call, type CallerResponse, chat} from '../callers.js';

/** Base URLs of the two routers that the example calls. */
export interface ExampleRouters {
  first: string;
  second: string;
}

/** One call of the example. */
export interface ExampleStep {
  title: string;
  customer: string;
  run: (routers: ExampleRouters) => Promise<CallerResponse>;
  /** Whether the call must produce a bill. */
  billed: boolean;
  /** Describes what is wrong with the response, or returns undefined. */
  check: (response: CallerResponse) => string | undefined;
}

const barleyDeskKey = 'barley-desk-example-key';
const tentGatesKey = 'tent-gates-example-key';
const smallBudgetKey = 'small-budget-example-key';

/** Calls in the order in which they are made. */
export const exampleSteps: readonly ExampleStep[] = [
  {
    title: 'Lot summary (chat)',
    customer: 'barley-desk',
    billed: true,
    run: ({first}) =>
      chat({
        url: first,
        key: barleyDeskKey,
        model: 'barley-7b',
        prompt: 'Summarise lot 4711: protein 11.2 %, germination 97 %.',
        maximumTokens: 64,
      }),
    check: response => expectChat(response),
  },
  {
    title: 'Packing list (streamed chat)',
    customer: 'tent-commons',
    billed: true,
    run: ({second}) =>
      chat({
        url: second,
        key: tentGatesKey,
        model: 'tent-7b',
        prompt: 'Pack for a family of four, in 20 words.',
        maximumTokens: 64,
        stream: true,
      }),
    check: response => expectChat(response),
  },
  {
    title: 'Sale of lot 4711 (booking)',
    customer: 'barley-desk',
    billed: true,
    run: ({first}) => bookLot(first),
    check: response => expectStatus(response, 201),
  },
  {
    title: 'The same sale sent again to another router',
    customer: 'barley-desk',
    billed: false,
    run: ({second}) => bookLot(second),
    check: response => expectStatus(response, 201),
  },
  {
    title: 'Status of lot 4711 (read)',
    customer: 'barley-desk',
    billed: true,
    run: ({second}) =>
      call({
        url: second,
        key: barleyDeskKey,
        method: 'GET',
        path: '/services/bookings/lots/4711',
      }),
    check: response =>
      expectStatus(response, 200) ??
      (response.body.includes('"bookings":1') ? undefined : 'not sold once'),
  },
  {
    title: 'Chat on an exhausted budget (refusal)',
    customer: 'small-budget',
    billed: false,
    run: ({first}) =>
      chat({
        url: first,
        key: smallBudgetKey,
        model: 'barley-7b',
        prompt: 'Summarise lot 4711.',
        maximumTokens: 64,
      }),
    check: ({error}) =>
      error?.code === 'budgetExhausted' && error.didNotRun === true
        ? undefined
        : 'not refused as exhausted',
  },
];

function bookLot(url: string): Promise<CallerResponse> {
  return call({
    url,
    key: barleyDeskKey,
    path: '/services/bookings/bookings',
    idempotencyKey: 'sale-of-lot-4711',
    body: {lot: '4711'},
  });
}

function expectStatus(
  response: CallerResponse,
  status: number,
): string | undefined {
  if (response.status === status) return undefined;
  return `status ${response.status} in place of ${status}: ${response.body}`;
}

function expectChat(response: CallerResponse): string | undefined {
  const finding = expectStatus(response, 200);
  if (finding !== undefined) return finding;
  if (!response.finished) return 'the stream did not end';
  return response.text === '' ? 'no text' : undefined;
}
