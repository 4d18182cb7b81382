/** @fileoverview Tests contract versions, top-ups and pending changes. */
import {type ChangeResult, type TopUp} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {
  applyContractCommand,
  createContract,
  takeGrantCommand,
  keyHash,
  LedgerFixture,
  openRequestCommand,
  createJournalRecord,
  second,
  settleRequestCommand,
} from './fixtures.js';

/** Serving time of a grant, 60 s, with the clock drift allowance. */
const maxServingMilliseconds = 60 * second * 1.1 + second;

const cadBudget = (prepaid: number) => ({budget: {prepaid, currency: 'CAD'}});

function topUpCommand(changes: Partial<TopUp> = {}): TopUp {
  return {
    kind: 'topUp',
    changeId: 't1',
    operator: 'ann',
    customer: 'barley',
    amount: 500,
    ...changes,
  };
}

describe('contract versions', () => {
  it('accepts one of two concurrent changes and names the winner', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(applyContractCommand('a', 1, {priority: 'urgent'}));
    const lost = fixture.apply<ChangeResult>({
      ...applyContractCommand('b', 1, cadBudget(2000)),
      operator: 'bob',
    });
    expect(lost).toMatchObject({
      state: 'rejected',
      version: 2,
      winner: {
        changeId: 'a',
        operator: 'ann',
        version: 2,
        differs: ['/budget/prepaid', '/priority'],
      },
    });
    expect(lost.findings).toHaveLength(1);
    expect(fixture.ledger.contract('barley')?.version).toBe(2);
  });

  it('answers a resend with the current result, also after a restart', () => {
    const fixture = LedgerFixture.withContract();
    const change = applyContractCommand('a', 1, cadBudget(2000));
    const first = fixture.apply(change);
    fixture.apply(applyContractCommand('b', 2, cadBudget(3000)));
    const snapshot: unknown = JSON.parse(
      JSON.stringify(fixture.ledger.snapshot()),
    );
    fixture.ledger.restore(snapshot as never);
    expect(fixture.apply(change)).toEqual(first);
    expect(fixture.ledger.contract('barley')?.version).toBe(3);
    const reused = fixture.apply(applyContractCommand('a', 3, cadBudget(9)));
    expect(reused).toMatchObject({
      state: 'rejected',
      findings: [{path: '/changeId'}],
    });
    expect(fixture.apply(change)).toEqual(first);
  });

  it('returns the same history after a restart', () => {
    const fixture = new LedgerFixture();
    fixture.apply(applyContractCommand('early', 7));
    fixture.apply(applyContractCommand('first', 0));
    const before = fixture.ledger.contractHistory('barley');
    expect(before.map(({changeId}) => changeId)).toEqual(['first']);
    const snapshot = JSON.stringify(fixture.ledger.snapshot());
    fixture.ledger.restore(JSON.parse(snapshot) as never);
    expect(fixture.ledger.contractHistory('barley')).toEqual(before);
  });

  it('removes change ids only after the retention', () => {
    const fixture = LedgerFixture.withContract(
      {},
      {changeRetentionMilliseconds: 10 * second},
    );
    const advance = {kind: 'advanceTime'} as const;
    fixture.apply(advance, 10 * second);
    expect(fixture.ledger.change('first')?.state).toBe('accepted');
    fixture.apply(advance, 1);
    expect(fixture.ledger.change('first')).toBeUndefined();
    expect(fixture.ledger.contractHistory('barley')).toEqual([]);
  });

  it('collects the findings that depend on the ledger', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([openRequestCommand(), settleRequestCommand({cost: 80})]);
    const {workspaces} = createContract();
    const result = fixture.apply<ChangeResult>(
      applyContractCommand('a', 1, {
        budget: {prepaid: 79, currency: 'THB'},
        workspaces: [workspaces[0], workspaces[0]],
      }),
    );
    expect(result.findings?.map(({path}) => path)).toEqual([
      '/workspaces/1/name',
      '/workspaces/1/keyHash',
      '/budget/currency',
      '/budget/prepaid',
    ]);
    const other = fixture.apply<ChangeResult>(
      applyContractCommand('b', 0, {customer: 'other'}),
    );
    expect(other.findings?.map(({path}) => path)).toEqual([
      '/workspaces/0/keyHash',
      '/workspaces/1/keyHash',
    ]);
  });

  it('reactivates a retired contract by a new version', () => {
    const fixture = LedgerFixture.withContract();
    const retire = {
      kind: 'retireContract',
      changeId: 'end',
      operator: 'ann',
      expectedVersion: 1,
      customer: 'barley',
    } as const;
    expect(fixture.apply(retire)).toMatchObject({
      state: 'accepted',
      version: 2,
    });
    expect(fixture.apply(topUpCommand())).toMatchObject({state: 'rejected'});
    expect(fixture.apply(applyContractCommand('a', 1))).toMatchObject({
      state: 'rejected',
    });
    expect(fixture.apply(applyContractCommand('b', 2))).toMatchObject({
      state: 'accepted',
    });
    expect(fixture.ledger.contract('barley')).toMatchObject({
      version: 3,
      retired: false,
    });
  });

  it('applies a resent top-up once', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([topUpCommand(), topUpCommand()]);
    expect(fixture.ledger.budget('barley')).toMatchObject({
      prepaid: 1500,
      toppedUp: 500,
      available: 1500,
    });
    const tooMuch = topUpCommand({changeId: 't2', amount: 9e15});
    expect(fixture.apply(tooMuch)).toMatchObject({state: 'rejected'});
  });

  it('lists the contracts changed since a revision', () => {
    const fixture = LedgerFixture.withContract();
    const {workspaces} = createContract();
    const key = [{...workspaces[0], keyHash: keyHash(7)}] as const;
    fixture.apply(
      applyContractCommand('o', 0, {customer: 'other', workspaces: [...key]}),
    );
    for (let version = 1; version <= 200; version++) {
      fixture.apply(
        applyContractCommand(`c${version}`, version, cadBudget(1000 + version)),
      );
    }
    const {ledger} = fixture;
    const names = (revision: number) =>
      ledger.changesSince(revision).map(({contract}) => contract.customer);
    expect(names(0)).toEqual(['other', 'barley']);
    expect(names(2)).toEqual(['barley']);
    expect(names(ledger.revision)).toEqual([]);
  });
});

describe('pending changes', () => {
  const tighteningCommand = applyContractCommand('tight', 1, {models: []});

  it('waits for the return of grants under older versions', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      takeGrantCommand({grantId: 'g2', holder: 'r2'}),
    ]);
    const until = fixture.now + maxServingMilliseconds;
    expect(fixture.apply(tighteningCommand)).toMatchObject({
      state: 'pending',
      version: 2,
      until: until + 1,
      waitingFor: [
        {grantId: 'g1', holder: 'r1', until},
        {grantId: 'g2', holder: 'r2', until},
      ],
    });
    // Connected requests are checked against the new version at once.
    expect(fixture.apply(openRequestCommand())).toMatchObject({
      code: 'staleContract',
    });
    fixture.apply({kind: 'returnGrant', grantId: 'g1', records: []});
    expect(fixture.apply(tighteningCommand)).toMatchObject({
      state: 'pending',
      waitingFor: [{grantId: 'g2'}],
    });
    fixture.apply({kind: 'returnGrant', grantId: 'g2', records: []});
    expect(fixture.apply(tighteningCommand)).toMatchObject({state: 'accepted'});
  });

  it('is accepted at the stated time, not earlier', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(takeGrantCommand());
    const {until} = fixture.apply<ChangeResult>(tighteningCommand);
    expect(fixture.ledger.nextExpiry()).toBe(until);
    const remainingMilliseconds = until! - fixture.now;
    fixture.apply({kind: 'advanceTime'}, remainingMilliseconds - 1);
    expect(fixture.ledger.change('tight')?.state).toBe('pending');
    fixture.apply({kind: 'advanceTime'}, 1);
    expect(fixture.ledger.change('tight')?.state).toBe('accepted');
    // The amount of the unreturned grant stays granted.
    expect(fixture.ledger.budget('barley')?.granted).toBe(200);
  });

  it('accepts a loosening change at once', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(takeGrantCommand());
    expect(
      fixture.apply(applyContractCommand('a', 1, cadBudget(2000))),
    ).toMatchObject({
      state: 'accepted',
    });
  });

  it('states no time while it depends on the return of a grant', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({maximumCost: 500}),
    ]);
    const lower = applyContractCommand('low', 1, cadBudget(600));
    const result = fixture.apply<ChangeResult>(lower);
    expect(result.state).toBe('pending');
    expect(result.until).toBeUndefined();
    expect(fixture.ledger.budget('barley')?.available).toBe(-100);
    fixture.apply({kind: 'returnGrant', grantId: 'g1', records: []});
    expect(fixture.ledger.change('low')?.state).toBe('accepted');
    expect(fixture.ledger.budget('barley')?.available).toBe(100);
  });

  it('is accepted when a settlement releases enough', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({maximumCost: 500}),
    ]);
    fixture.apply(applyContractCommand('low', 1, cadBudget(600)));
    fixture.apply({kind: 'advanceTime'}, maxServingMilliseconds + 1);
    expect(fixture.ledger.change('low')?.state).toBe('pending');
    fixture.apply(settleRequestCommand({cost: 400}));
    expect(fixture.ledger.change('low')?.state).toBe('accepted');
  });

  it('rejects a pending change that is replaced by a newer one', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(takeGrantCommand());
    fixture.apply(tighteningCommand);
    expect(fixture.apply(applyContractCommand('back', 2))).toMatchObject({
      state: 'accepted',
      version: 3,
    });
    expect(fixture.apply(tighteningCommand)).toMatchObject({
      state: 'rejected',
      winner: {changeId: 'back', version: 3},
    });
  });

  it('bills a late journal at the prices of its contract version', () => {
    const fixture = LedgerFixture.withContract();
    const [model] = createContract().models;
    fixture.apply(takeGrantCommand());
    const dearer = [{...model!, inputPrice: 9}];
    fixture.apply(applyContractCommand('dearer', 1, {models: dearer}));
    fixture.apply({kind: 'advanceTime'}, maxServingMilliseconds + 1);
    expect(fixture.ledger.change('dearer')?.state).toBe('accepted');
    const records = [createJournalRecord(1, 9)];
    fixture.apply({kind: 'returnGrant', grantId: 'g1', records});
    expect(fixture.ledger.takeBills()).toMatchObject([
      {contractVersion: 1, inputPrice: 1},
    ]);
  });

  it('keeps a replaced key reserved while a grant uses it', () => {
    const fixture = LedgerFixture.withContract();
    const {workspaces} = createContract();
    fixture.apply(takeGrantCommand());
    const [desk, lab] = workspaces;
    const rekeyed = {...desk, keyHash: keyHash(3)};
    fixture.apply(
      applyContractCommand('rekey', 1, {workspaces: [rekeyed, lab!]}),
    );
    const otherCustomerCommand = (changeId: string) =>
      applyContractCommand(changeId, 0, {
        customer: 'other',
        workspaces: [desk],
      });
    expect(fixture.apply(otherCustomerCommand('o1'))).toMatchObject({
      state: 'rejected',
    });
    fixture.apply({
      kind: 'returnGrant',
      grantId: 'g1',
      records: [createJournalRecord(1, 9)],
    });
    expect(fixture.apply(otherCustomerCommand('o2'))).toMatchObject({
      state: 'accepted',
    });
    expect(fixture.ledger.contractByKeyHash(desk.keyHash)).toMatchObject({
      contract: {customer: 'other'},
    });
  });
});
