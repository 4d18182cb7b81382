/**
 * @fileoverview The traffic of the example: each step makes a call and says
 * what has to be true of its answer.
 */
import {call, type CallerResponse, chat} from '../callers.js';

/** URLs of two routers that serve the example's callers. */
export interface ExampleRouters {
  first: string;
  second: string;
}

/** One call of the example. */
export interface ExampleStep {
  title: string;
  customer: string;
  run: (routers: ExampleRouters) => Promise<CallerResponse>;
  /** Whether a bill is expected. */
  billed: boolean;
  /** Returns what is wrong with the answer, if anything is. */
  check: (answer: CallerResponse) => string | undefined;
}

const deskKey = 'barley-desk-example-key';
const gatesKey = 'tent-gates-example-key';
const smallKey = 'small-budget-example-key';

/** Calls in the order in which they are made. */
export const exampleSteps: readonly ExampleStep[] = [
  {
    title: 'Lot summary (chat)',
    customer: 'barley-desk',
    billed: true,
    run: ({first}) =>
      chat({
        url: first,
        key: deskKey,
        model: 'barley-7b',
        prompt: 'Summarise lot 4711: protein 11.2 %, germination 97 %.',
        maximumTokens: 64,
      }),
    check: answer => expectChat(answer),
  },
  {
    title: 'Packing list (streamed chat)',
    customer: 'tent-commons',
    billed: true,
    run: ({second}) =>
      chat({
        url: second,
        key: gatesKey,
        model: 'tent-7b',
        prompt: 'Pack for a family of four, in 20 words.',
        maximumTokens: 64,
        stream: true,
      }),
    check: answer => expectChat(answer),
  },
  {
    title: 'Sale of lot 4711 (booking)',
    customer: 'barley-desk',
    billed: true,
    run: ({first}) => bookLot(first),
    check: answer => expectStatus(answer, 201),
  },
  {
    title: 'The same sale sent again to another router',
    customer: 'barley-desk',
    billed: false,
    run: ({second}) => bookLot(second),
    check: answer => expectStatus(answer, 201),
  },
  {
    title: 'Status of lot 4711 (read)',
    customer: 'barley-desk',
    billed: true,
    run: ({second}) =>
      call({
        url: second,
        key: deskKey,
        method: 'GET',
        path: '/services/bookings/lots/4711',
      }),
    check: answer =>
      expectStatus(answer, 200) ??
      (answer.body.includes('"bookings":1') ? undefined : 'not sold once'),
  },
  {
    title: 'Chat on an exhausted budget (refusal)',
    customer: 'small-budget',
    billed: false,
    run: ({first}) =>
      chat({
        url: first,
        key: smallKey,
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
    key: deskKey,
    path: '/services/bookings/bookings',
    idempotencyKey: 'sale-of-lot-4711',
    body: {lot: '4711'},
  });
}

function expectStatus(
  answer: CallerResponse,
  status: number,
): string | undefined {
  if (answer.status === status) return undefined;
  return `status ${answer.status} in place of ${status}: ${answer.body}`;
}

function expectChat(answer: CallerResponse): string | undefined {
  const wrong = expectStatus(answer, 200);
  if (wrong !== undefined) return wrong;
  if (!answer.finished) return 'the stream did not end';
  return answer.text === '' ? 'no text' : undefined;
}
