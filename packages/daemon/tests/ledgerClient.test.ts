import {
  type Command,
  type GrantHolder,
  type Result,
  type SubmitReply,
} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {LedgerClient} from '../src/ledgerClient/ledgerClient.js';
import {openCommand} from './fixtures.js';

type Script = (
  address: string,
  commands: Command[],
  call: number,
) => SubmitReply | Error;

type Recall = (holders: GrantHolder[]) => Promise<boolean>;

/** A client whose calls a script answers; `probe` calls count too. */
function clientOf(script: Script, recall?: Recall, request?: object) {
  const calls: Array<{address: string; commands: Command[]}> = [];
  const client = new LedgerClient({
    calls: {
      submit: async (address, {commands}) => {
        calls.push({address, commands});
        await new Promise(resolve => setTimeout(resolve, 1));
        const reply = script(address, commands, calls.length);
        if (reply instanceof Error) throw reply;
        return reply;
      },
      query: async () => ({kind: 'answer', value: request as never}),
    },
    addresses: () => ['a', 'b'],
    maybeReceived: error => (error as Error).message === 'lost',
    submitTimeoutMilliseconds: 150,
    retryMilliseconds: 5,
    probeMilliseconds: 20,
    ...(recall === undefined ? {} : {recall}),
  });
  return {client, calls};
}

function results(list: Result[], ledgerTime = 100): SubmitReply {
  return {kind: 'results', results: list, ledgerTime};
}

function duplicate(changes: object = {}): Result {
  return {
    kind: 'duplicate',
    requestKey: 'exchange/desk/r1',
    status: 'open',
    attempt: 1,
    holder: 'one',
    idempotent: true,
    openedAt: 200,
    ...changes,
  };
}

/** Loses the answer to the first copy; `answer` is that to the second. */
async function resend(answer: Result, earlierOpens = 0) {
  const lost = earlierOpens + 2; // the first call is a probe
  const {client} = clientOf((_address, commands, call) =>
    call === lost ? new Error('lost') : results(commands.map(() => answer)),
  );
  await client.probe();
  for (let i = 0; i < earlierOpens; i++) await client.submit(openCommand());
  return client.submit(openCommand());
}

describe('LedgerClient', () => {
  it('converts the duplicate of its resent open to opened', async () => {
    expect(await resend(duplicate())).toMatchObject({
      kind: 'opened',
      attempt: 1,
    });
  });

  it.each([
    ['held by another instance', duplicate({holder: 'two'})],
    ['settled already', duplicate({status: 'settled'})],
    ['opened by an earlier process', duplicate({openedAt: 100})],
    ['of unknown age', duplicate({openedAt: undefined})],
  ])('keeps a duplicate that is %s', async (_name, answer) => {
    expect(await resend(answer)).toMatchObject({kind: 'duplicate'});
  });

  it('keeps a duplicate of a key that two callers have sent', async () => {
    const answer = await resend(duplicate(), 1);
    expect(answer).toMatchObject({kind: 'duplicate'});
  });

  it('recalls as few grants as needed, and the others if those do not suffice', async () => {
    const recallable = [10, 400, 30].map(remaining => ({
      grantId: `g${remaining}`,
      holder: 'two',
      remaining,
    }));
    const refused: Result = {
      kind: 'refused',
      code: 'budgetExhausted',
      available: 0,
      recallable,
    };
    const recalled: string[][] = [];
    const {client} = clientOf(
      (_address, commands) => results(commands.map(() => refused)),
      async holders => {
        recalled.push(holders.map(({grantId}) => grantId));
        return true;
      },
    );
    const answer = await client.submit(openCommand());
    expect(answer).toMatchObject({code: 'budgetExhausted'});
    expect(recalled).toEqual([['g400'], ['g10', 'g30']]);
  });

  it('keeps a duplicate that answers the first copy', async () => {
    const {client} = clientOf((_address, commands) =>
      results(commands.map(() => duplicate())),
    );
    await client.probe();
    const answer = await client.submit(openCommand());
    expect(answer).toMatchObject({kind: 'duplicate'});
  });

  it('follows the named leader and sends queued commands together', async () => {
    const {client, calls} = clientOf((address, commands) =>
      address === 'a'
        ? {kind: 'notLeader', leader: 'c'}
        : results(commands.map(() => ({kind: 'done'}))),
    );
    await Promise.all(
      [1, 2, 3].map(() => client.submit({kind: 'advanceTime'})),
    );
    const sizes = calls.map(({address, commands}) => [
      address,
      commands.length,
    ]);
    expect(sizes).toEqual([
      ['a', 1],
      ['c', 3],
    ]);
    expect(client.leaderAddress).toBe('c');
  });

  it.each([
    ['refused', 'notSent'],
    ['lost', 'unknown'],
  ])('rejects in time when calls are %s', async (message, outcome) => {
    const failing = {on: true};
    const {client} = clientOf((_address, commands) =>
      failing.on
        ? new Error(message)
        : results(commands.map(() => ({kind: 'done'}))),
    );
    const startedAt = Date.now();
    await expect(client.submit(openCommand())).rejects.toMatchObject({
      name: 'QuorumUnreachableError',
      outcome,
    });
    expect(Date.now() - startedAt).toBeLessThan(1000);
    expect(client.connected).toBe(false);
    failing.on = false;
    await expect.poll(() => client.connected).toBe(true);
    await client.stop();
  });

  it.each<[string, object, string]>([
    ['is held by this instance', {holder: 'one', attempt: 2}, 'opened'],
    ['is held by another instance', {holder: 'two', attempt: 2}, 'refused'],
    ['has a later attempt', {holder: 'one', attempt: 3}, 'refused'],
    ['is settled', {holder: 'one'}, 'refused'],
  ])('resolves a resent adoption if it %s', async (_name, request, kind) => {
    const {client} = clientOf(
      (_address, commands, call) => {
        if (call === 2) return new Error('lost');
        return results(
          commands.map(() => ({kind: 'refused', code: 'attemptSuperseded'})),
        );
      },
      undefined,
      request,
    );
    await client.probe();
    const answer = await client.submit({
      kind: 'adoptRequest',
      requestKey: 'exchange/desk/r1',
      expectedAttempt: 1,
      holder: 'one',
    });
    expect(answer.kind).toBe(kind);
  });

  it('rejects an invalid command without sending it', async () => {
    const {client, calls} = clientOf(() => results([]));
    const command = openCommand({maximumCost: -1});
    await expect(client.submit(command)).rejects.toThrow('maximumCost');
    expect(calls).toEqual([]);
  });
});
