/**
 * @fileoverview Tests of requests while backend servers, the budget or the
 * ledger fail.
 */
import {
  defaultStandInOptions,
  type FailureMode,
  ModelServer,
} from '@dogwoodtrestle/testkit';
import {afterEach, describe, expect, it} from 'vitest';

import {QuorumUnreachableError} from '../../src/ledgerClient/index.js';
import {type FixtureOptions, RequestFixture} from './fixture.js';

let fixture: RequestFixture;
const modelServers: ModelServer[] = [];

afterEach(async () => {
  for (const server of modelServers.splice(0)) await server.stop();
  await fixture.stop();
});

async function start(
  failure: FailureMode,
  {times = 1, ...options}: FixtureOptions & {times?: number} = {},
): Promise<void> {
  fixture = await RequestFixture.start({
    ...options,
    requests: {idleStreamMilliseconds: 500, ...options.requests},
  });
  for (const name of ['model-1', 'model-2']) {
    const server = new ModelServer({
      ...defaultStandInOptions,
      name,
      routers: [fixture.base],
      announceEveryMilliseconds: 100,
      tokenDelayMilliseconds: 2,
    });
    server.control({failure, times});
    modelServers.push(server);
    await server.start();
  }
  while (fixture.directory.entries(performance.now()).length < 2) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

interface Event {
  id?: string;
  choices?: {delta?: {content?: string}}[];
  error?: {code: string; didNotRun: boolean};
}

/** Reads a stream: its text, IDs and error, and whether it is complete. */
async function readStream(response: Response) {
  const text = await response.text();
  const events = text.split('\n\n').filter(event => event !== '');
  const isComplete = events.at(-1) === 'data: [DONE]';
  const chunks = events
    .filter(event => event !== 'data: [DONE]')
    .map(event => JSON.parse(event.slice('data: '.length)) as Event);
  const content = chunks
    .map(chunk => chunk.choices?.[0]?.delta?.content ?? '')
    .join('');
  return {
    content,
    isComplete,
    ids: new Set(chunks.map(chunk => chunk.id)),
    error: chunks.at(-1)?.error,
  };
}

const streamBody = {
  stream: true,
  max_tokens: 20,
  messages: [
    {role: 'user', content: 'a lab sheet of lot 31 with protein and moisture'},
  ],
};

const recoverable: {name: string; failure: FailureMode}[] = [
  {
    name: 'a connection that is dropped after the first chunk',
    failure: {kind: 'dropAfterFirstChunk'},
  },
  {name: 'a stream without its terminator', failure: {kind: 'noTerminator'}},
  {
    name: 'a connection that is dropped before the run',
    failure: {kind: 'dropBeforeRun'},
  },
  {name: "a response with another attempt's ID", failure: {kind: 'crossedId'}},
  {name: 'a server that sends nothing', failure: {kind: 'hang'}},
];

describe('a stream', () => {
  it.each(recoverable)('is complete despite $name', async ({failure}) => {
    await start(failure);
    const [first] = modelServers;
    const answer = await readStream(await fixture.chat(streamBody));
    first?.control({failure: {kind: 'none'}});
    const plain = await readStream(await fixture.chat(streamBody));
    expect(answer).toMatchObject({isComplete: true, content: plain.content});
    expect(answer.ids.size).toBe(1);
    const bills = fixture.ledger.takeBills();
    expect(bills.map(({cost}) => cost)).toEqual([
      bills[0]?.cost,
      bills[0]?.cost,
    ]);
    expect(bills[0]?.cost).toBeGreaterThan(0);
  });

  it('ends with an error event if no server completes it', async () => {
    await start({kind: 'dropAfterFirstChunk'}, {times: 100});
    const answer = await readStream(await fixture.chat(streamBody));
    expect(answer.isComplete).toBe(false);
    expect(answer.error).toMatchObject({
      code: 'backendFailed',
      didNotRun: false,
    });
    expect(await fixture.settledBudget()).toMatchObject({billed: 0});
  });

  it('is billed the reserved amount if the engine reports a higher cost', async () => {
    await start({kind: 'overReport', factor: 1000}, {times: 2});
    const answer = await readStream(await fixture.chat(streamBody));
    expect(answer.isComplete).toBe(true);
    const [bill] = fixture.ledger.takeBills();
    const open = fixture.commands.find(({kind}) => kind === 'openRequest');
    expect(bill).toMatchObject({outcome: 'overReported'});
    expect(open).toMatchObject({maximumCost: bill?.cost});
  });
});

describe('a response that is not streamed', () => {
  // Guards against engines that are left in their work one after the other, as each
  // writes nothing before all of its response is generated (issue 70).
  it('comes from an engine that takes longer than one may be idle', async () => {
    await start({kind: 'slow', milliseconds: 400}, {times: 100});
    const answer = await fixture.chat({...streamBody, stream: false});
    expect(answer.status).toBe(200);
    const calls = modelServers.flatMap(server => server.calls);
    expect(calls.filter(({method}) => method === 'POST')).toHaveLength(1);
  });

  it('comes from another engine if the first one does not begin', async () => {
    await start({kind: 'hang'});
    const answer = await fixture.chat({...streamBody, stream: false});
    expect(answer.status).toBe(200);
  });
});

describe('a refused request', () => {
  it('is reported as not run if no server could be reached', async () => {
    await start({kind: 'none'});
    for (const server of modelServers.splice(0)) await server.stop();
    const answer = await fixture.chat();
    expect(await answer.json()).toMatchObject({
      error: {code: 'noBackend', didNotRun: true},
    });
    expect(await fixture.settledBudget()).toMatchObject({
      billed: 0,
      reserved: 0,
    });
  });

  it('ends at its deadline with a Retry-After header', async () => {
    await start(
      {kind: 'hang'},
      {
        times: 100,
        requests: {deadlineMilliseconds: 300, idleStreamMilliseconds: 5000},
      },
    );
    const startedAt = Date.now();
    const answer = await fixture.chat();
    expect(Date.now() - startedAt).toBeLessThan(2000);
    expect(answer.status).toBe(504);
    expect(answer.headers.get('retry-after')).toBe('1');
  });
});

describe('an exhausted budget', () => {
  const cases = [
    {wait: 0, statuses: [200, 402]},
    {wait: 5000, statuses: [200, 200]},
  ];
  it.each(cases)(
    'waits up to $wait ms for reservations to be released',
    async ({wait, statuses}) => {
      // The budget covers one reservation at a time, but the cost of both
      // responses.
      await start(
        {kind: 'none'},
        {
          contract: {
            budget: {prepaid: 320, currency: 'CAD'},
            partition: {
              servingSeconds: 0,
              grantPercent: 0,
              exhaustionWaitMilliseconds: wait,
            },
          },
        },
      );
      const answers = await Promise.all([
        fixture.chat({max_tokens: 64}),
        fixture.chat({max_tokens: 64}),
      ]);
      expect(answers.map(({status}) => status).sort()).toEqual(statuses);
    },
  );
});

describe('a non-idempotent call', () => {
  const booking = {
    body: JSON.stringify({lot: '7'}),
    headers: {'idempotency-key': 'sale-7'},
  };

  it('is not sent if its opening completes too late', async () => {
    let opens = 0;
    fixture = await RequestFixture.start({
      submit: async (command, apply) => {
        const result = apply();
        if (command.kind === 'openRequest' && ++opens === 1) {
          await new Promise(resolve => setTimeout(resolve, 2100));
        }
        return result;
      },
    });
    const service = await fixture.startService();
    const answer = await fixture.post('/services/bookings/bookings', booking);
    expect(answer.status).toBe(201);
    const attempts = service.calls.map(({attempt}) => attempt);
    expect(attempts).toEqual(['barley.desk.sale-7.2']);
  });

  const failures: FailureMode[] = [{kind: 'dropAfterRun'}, {kind: 'crossedId'}];
  it.each(failures)('has its outcome read back after $kind', async failure => {
    fixture = await RequestFixture.start();
    const service = await fixture.startService();
    service.control({failure, times: 1});
    const answer = await fixture.post('/services/bookings/bookings', booking);
    const again = await fixture.post('/services/bookings/bookings', booking);
    expect([answer.status, again.status]).toEqual([201, 201]);
    expect(await again.json()).toEqual(await answer.json());
    expect(service.calls.filter(({method}) => method === 'POST')).toHaveLength(
      1,
    );
  });
});

describe('an opening whose result is lost', () => {
  it('is released with a zero bill and the outcome didNotRun', async () => {
    let opens = 0;
    fixture = await RequestFixture.start({
      submit: (command, apply) => {
        const result = apply();
        if (command.kind !== 'openRequest' || ++opens > 1) {
          return Promise.resolve(result);
        }
        const error: Error = new QuorumUnreachableError('lost', {
          props: {outcome: 'unknown'},
        });
        return Promise.reject(error);
      },
    });
    await fixture.startModel();
    const answer = await fixture.chat();
    expect(await answer.json()).toMatchObject({
      error: {code: 'quorumUnreachable', didNotRun: true},
    });
    const {billed} = await fixture.settledBudget();
    const bills = fixture.ledger.takeBills();
    expect({billed, bills: bills.map(({outcome}) => outcome)}).toEqual({
      billed: 0,
      bills: ['didNotRun'],
    });
  });
});
