/**
 * @fileoverview Tests of the refusal for retries of settled requests whose
 * response is no longer stored.
 */
import {type RequestOutcome, type Result} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {RequestFixture} from './fixture.js';

let fixture: RequestFixture;

afterEach(() => fixture.stop());

/** Retries a request that the ledger has settled with an outcome. */
async function retryOf(outcome: RequestOutcome, kind: 'chat' | 'service') {
  const duplicate: Result = {
    kind: 'duplicate',
    requestKey: 'barley/desk/k',
    status: 'settled',
    attempt: 1,
    holder: 'gone#1',
    idempotent: kind === 'chat',
    bill: {
      requestKey: 'barley/desk/k',
      customer: 'barley',
      workspace: 'desk',
      target:
        kind === 'chat'
          ? {kind: 'model', name: 'barley-7b'}
          : {kind: 'service', name: 'bookings'},
      cost: 50,
      outcome,
      attempt: 1,
      attempts: 1,
      contractVersion: 1,
      inputPrice: 1,
      outputPrice: 2,
      instance: 'gone#1',
      traceId: 't',
      settledAt: 1,
      index: 1,
    },
  };
  fixture = await RequestFixture.start({
    submit: async ({kind}, apply) =>
      kind === 'openRequest' ? duplicate : apply(),
  });
  const headers = {'idempotency-key': 'k'};
  if (kind === 'chat') {
    await fixture.startModel();
    return fixture.chat({}, headers);
  }
  await fixture.startService();
  const body = JSON.stringify({lot: '8'});
  return fixture.post('/services/bookings/bookings', {body, headers});
}

// Guards against `didNotRun: false` for a request that was settled with an
// unknown outcome: it may not have run.
describe('a retry of a settled request whose response is not stored', () => {
  it.each([
    ['completed', 'chat', false],
    ['unknown', 'chat', 'unknown'],
    ['completed', 'service', false],
    ['unknown', 'service', 'unknown'],
  ] as const)(
    'is refused after the outcome %s (%s)',
    async (outcome, kind, didNotRun) => {
      const response = await retryOf(outcome, kind);
      expect(response.status).toBe(409);
      expect(await response.json()).toMatchObject({
        error: {code: 'answerNotKept', didNotRun},
      });
    },
  );
});
