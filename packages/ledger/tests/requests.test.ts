/** @fileoverview Tests requests, grants, the budget invariant and the issuer lease. */
import {InvariantViolation} from '@dogwoodtrestle/ledger';
import {
  type BilledResult,
  type Command,
  type GrantResult,
  type LeaseResult,
  type MergedResult,
  type MergeJournal,
} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {
  takeGrantCommand,
  LedgerFixture,
  openRequestCommand,
  createJournalRecord,
  second,
  settleRequestCommand,
} from './fixtures.js';

const hour = 3600 * second;
const day = 24 * hour;
const adopt = {
  kind: 'adoptRequest',
  requestKey: 'barley/desk/k1',
  expectedAttempt: 1,
  holder: 'r2',
} as const;

describe('requests', () => {
  it('answers a repeated open with the state of the request', () => {
    const fixture = LedgerFixture.withContract();
    const answer = {status: 200, contentType: 'text/plain', body: 'sold'};
    expect(fixture.apply(openRequestCommand())).toEqual({
      kind: 'opened',
      requestKey: 'barley/desk/k1',
      attempt: 1,
    });
    expect(fixture.apply(openRequestCommand({holder: 'r2'}))).toMatchObject({
      kind: 'duplicate',
      status: 'open',
      holder: 'r1',
      traceId: 't1',
    });
    fixture.apply(settleRequestCommand({answer}));
    expect(fixture.apply(openRequestCommand())).toMatchObject({
      status: 'settled',
      bill: {cost: 60, inputPrice: 1, outputPrice: 2},
      answer,
    });
    expect(fixture.ledger.budget('barley')).toMatchObject({
      billed: 60,
      reserved: 0,
      available: 940,
    });
  });

  it('releases a request only for its holder', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(openRequestCommand({holder: 'r1'}));
    const release = settleRequestCommand({
      cost: 0,
      outcome: 'didNotRun',
      onlyHolder: true,
      instance: 'r2',
    });
    expect(fixture.apply(release)).toMatchObject({code: 'attemptSuperseded'});
    const own = fixture.apply({...release, instance: 'r1'});
    expect(own).toMatchObject({kind: 'billed', bill: {cost: 0}});
  });

  it('never reopens an open non-idempotent request', () => {
    const fixture = LedgerFixture.withContract();
    const booking = openRequestCommand({
      idempotent: false,
      target: {kind: 'service', name: 'booking'},
    });
    fixture.apply(booking);
    fixture.apply({kind: 'advanceTime'}, 30 * day);
    expect(fixture.apply(booking)).toMatchObject({
      status: 'open',
      idempotent: false,
      attempt: 1,
    });
  });

  it('bills the first settlement, whichever attempt it belongs to', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([openRequestCommand(), adopt]);
    const first = fixture.apply<BilledResult>(settleRequestCommand({cost: 10}));
    const second = fixture.apply(
      settleRequestCommand({cost: 70, attempt: 2, instance: 'r2'}),
    );
    expect(first).toMatchObject({repeated: false, bill: {attempt: 1}});
    expect(second).toEqual({...first, repeated: true});
    expect(fixture.ledger.takeBills()).toEqual([first.bill]);
  });

  it.each([
    ['a cost above the reservation', {cost: 101}, 100, 'overReported'],
    ['a request that did not run', {outcome: 'didNotRun'}, 0, 'didNotRun'],
  ] as const)('bounds %s', (_name, changes, cost, outcome) => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(openRequestCommand());
    expect(fixture.apply(settleRequestCommand(changes))).toMatchObject({
      bill: {cost, outcome},
    });
    expect(fixture.ledger.budget('barley')?.billed).toBe(cost);
  });

  it.each([
    ['completed', true, 'duplicate'],
    ['cutOff', true, 'opened'],
    ['didNotRun', true, 'opened'],
    ['cutOff', false, 'duplicate'],
    ['didNotRun', false, 'opened'],
  ] as const)(
    'after %s at cost 0, idempotent %s, answers an open with %s',
    (outcome, idempotent, kind) => {
      const fixture = LedgerFixture.withContract();
      const open = openRequestCommand({idempotent});
      fixture.applyAll([open, settleRequestCommand({cost: 0, outcome})]);
      expect(fixture.apply(open).kind).toBe(kind);
    },
  );

  it('removes settled requests first and their forgotten keys later', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([openRequestCommand(), settleRequestCommand()]);
    expect(fixture.apply(openRequestCommand(), hour)).toMatchObject({
      status: 'settled',
    });
    expect(fixture.apply(openRequestCommand(), 1)).toMatchObject({
      code: 'keyTooOld',
    });
    expect(fixture.apply(openRequestCommand(), 7 * day)).toMatchObject({
      code: 'keyTooOld',
    });
    // After the second retention the key counts as new.
    expect(fixture.apply(openRequestCommand(), day)).toMatchObject({
      kind: 'opened',
    });
  });

  it('uses at most 21 bytes per forgotten key', () => {
    const fixture = LedgerFixture.withContract();
    const keys = 3000;
    for (let key = 0; key < keys; key++) {
      const requestKey = `k${key}`;
      fixture.apply(openRequestCommand({requestKey, maximumCost: 0}));
      fixture.apply(
        settleRequestCommand({requestKey: `barley/desk/${requestKey}`}),
      );
    }
    fixture.apply({kind: 'advanceTime'}, hour + 1);
    const counts = fixture.ledger.keyCounts();
    expect(counts).toMatchObject({settled: 0, forgotten: keys});
    expect(counts.forgottenBytes / keys).toBeLessThan(21.4);
  });
});

describe('grants', () => {
  it('limits the amount to what may be granted', () => {
    const fixture = LedgerFixture.withContract();
    expect(fixture.apply<GrantResult>(takeGrantCommand({amount: 999}))).toEqual(
      {
        kind: 'granted',
        grantId: 'g1',
        amount: 300,
        remaining: 300,
        servingMilliseconds: 60 * second,
        contractVersion: 1,
        workspaces: [{workspace: 'lab', amount: 60}],
      },
    );
    // A renewal extends the deadline and grants no further amount.
    fixture.apply(takeGrantCommand({amount: 999}), 10 * second);
    expect(fixture.ledger.budget('barley')).toMatchObject({
      granted: 300,
      grants: [{amount: 300, until: fixture.now + 67 * second}],
    });
  });

  it('merges each record once, and releases the remainder on return', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(takeGrantCommand());
    const records = [
      createJournalRecord(2, 20),
      createJournalRecord(1, 10),
      createJournalRecord(3),
    ];
    const merge: MergeJournal = {kind: 'mergeJournal', grantId: 'g1', records};
    expect(fixture.apply(merge)).toMatchObject({billed: 30, returned: 0});
    expect(fixture.apply(merge)).toMatchObject({billed: 0, returned: 0});
    const final: Command = {
      kind: 'returnGrant',
      grantId: 'g1',
      records: [
        ...records,
        createJournalRecord(4, undefined, {unknownCost: 7}),
      ],
    };
    // Record 3 states no unknown cost and is billed its maximum of 50.
    expect(fixture.apply(final)).toMatchObject({billed: 57, returned: 113});
    expect(fixture.apply(final)).toMatchObject({billed: 0, returned: 0});
    expect(fixture.ledger.budget('barley')).toMatchObject({
      billed: 87,
      granted: 0,
      available: 913,
    });
    const outcomes = fixture.ledger
      .takeBills()
      .map(({outcome, grantId}) => [outcome, grantId]);
    expect(outcomes).toEqual([
      ['completed', 'g1'],
      ['completed', 'g1'],
      ['unknown', 'g1'],
      ['unknown', 'g1'],
    ]);
  });

  it('never bills more than the grant', () => {
    const fixture = LedgerFixture.withContract();
    fixture.apply(takeGrantCommand({amount: 60}));
    const records = [createJournalRecord(1, 50), createJournalRecord(2, 50)];
    fixture.apply({kind: 'mergeJournal', grantId: 'g1', records});
    expect(fixture.ledger.takeBills()).toMatchObject([
      {cost: 50, outcome: 'completed'},
      {cost: 10, outcome: 'overReported'},
    ]);
  });

  it('bills a key once that was used on both sides of a partition', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({requestKey: 'j1'}),
    ]);
    const merge: MergeJournal = {
      kind: 'mergeJournal',
      grantId: 'g1',
      records: [createJournalRecord(1, 30)],
    };
    expect(fixture.apply<MergedResult>(merge).billed).toBe(30);
    const late = settleRequestCommand({requestKey: 'barley/desk/j1', cost: 99});
    expect(fixture.apply(late)).toMatchObject({
      repeated: true,
      bill: {cost: 30, grantId: 'g1'},
    });
    fixture.apply(openRequestCommand({requestKey: 'j2'}));
    fixture.apply(
      settleRequestCommand({requestKey: 'barley/desk/j2', cost: 5}),
    );
    const records = [createJournalRecord(2, 40)];
    const second = fixture.apply<MergedResult>({...merge, records});
    expect(second.billed).toBe(0);
    expect(fixture.ledger.budget('barley')).toMatchObject({
      billed: 35,
      reserved: 0,
      granted: 170,
    });
    expect(fixture.ledger.verifySums()).toEqual([]);
  });

  it('bills a record whose key was settled at cost 0 elsewhere', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({requestKey: 'j1'}),
    ]);
    const requestKey = 'barley/desk/j1';
    fixture.apply(settleRequestCommand({requestKey, outcome: 'didNotRun'}));
    const records = [createJournalRecord(1, 30)];
    expect(
      fixture.apply({kind: 'mergeJournal', grantId: 'g1', records}),
    ).toMatchObject({billed: 30});
    expect(fixture.ledger.request(requestKey)).toMatchObject({
      bill: {cost: 30},
    });
  });

  it('measures retention from the newest bill, also after a restart', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({requestKey: 'j1'}),
      settleRequestCommand({
        requestKey: 'barley/desk/j1',
        outcome: 'didNotRun',
      }),
      openRequestCommand(),
      settleRequestCommand(),
    ]);
    const records = [createJournalRecord(1, 30)];
    fixture.apply({kind: 'mergeJournal', grantId: 'g1', records}, second);
    const snapshot = JSON.stringify(fixture.ledger.snapshot());
    fixture.ledger.restore(JSON.parse(snapshot) as never);
    fixture.apply({kind: 'advanceTime'}, hour - 1);
    expect(fixture.ledger.keyCounts()).toMatchObject({
      settled: 1,
      forgotten: 1,
    });
  });

  it('keeps a request open if its journaled attempt did not run', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({requestKey: 'j1'}),
    ]);
    const record = createJournalRecord(1, 0);
    record.settlement!.outcome = 'didNotRun';
    fixture.apply({kind: 'mergeJournal', grantId: 'g1', records: [record]});
    const settle = settleRequestCommand({
      requestKey: 'barley/desk/j1',
      cost: 9,
    });
    expect(fixture.apply(settle)).toMatchObject({
      repeated: false,
      bill: {cost: 9},
    });
  });

  it('merges a record once, even after its key was removed', () => {
    const short = {
      requestRetentionMilliseconds: second,
      forgottenKeyRetentionMilliseconds: second,
    };
    const fixture = LedgerFixture.withContract({}, short);
    const records = [createJournalRecord(1, 30)];
    const merge: Command = {kind: 'mergeJournal', grantId: 'g1', records};
    fixture.applyAll([takeGrantCommand(), merge]);
    fixture.apply({kind: 'advanceTime'}, 2 * second);
    fixture.apply({kind: 'advanceTime'}, 4 * second);
    expect(fixture.ledger.keyCounts()).toMatchObject({
      settled: 0,
      forgotten: 0,
    });
    expect(fixture.apply(merge)).toMatchObject({billed: 0});
  });

  it('does not bill a key again after it became a forgotten key', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([
      takeGrantCommand(),
      openRequestCommand({requestKey: 'j1'}),
    ]);
    fixture.apply(
      settleRequestCommand({requestKey: 'barley/desk/j1', cost: 5}),
    );
    fixture.apply({kind: 'advanceTime'}, 2 * hour);
    const records = [createJournalRecord(1, 30)];
    expect(
      fixture.apply({kind: 'returnGrant', grantId: 'g1', records}),
    ).toMatchObject({billed: 0, returned: 200});
  });
});

describe('invariant', () => {
  it('throws if the sums exceed the prepaid amount', () => {
    const fixture = LedgerFixture.withContract();
    fixture.applyAll([openRequestCommand(), settleRequestCommand()]);
    const snapshot = fixture.ledger.snapshot();
    snapshot.accounts[0]!.billed = 1001;
    fixture.ledger.restore(snapshot);
    expect(() => fixture.apply(openRequestCommand({requestKey: 'k2'}))).toThrow(
      InvariantViolation,
    );
    expect(fixture.ledger.verifySums()).toHaveLength(2);
  });
});

describe('issuer lease', () => {
  const claim = (issuer: string) => ({
    kind: 'claimIssuerLease' as const,
    issuer,
    durationMilliseconds: 10 * second,
  });

  it('has one holder at a time, and increasing fencing numbers', () => {
    const fixture = new LedgerFixture();
    const steps: Array<[string, number, boolean, number]> = [
      ['a', 0, true, 1],
      ['b', 5 * second, false, 1],
      ['a', 0, true, 1],
      ['b', 10 * second, false, 1],
      ['b', 1, true, 2],
      ['b', 11 * second, true, 3],
    ];
    for (const [issuer, elapsedMilliseconds, held, fencingNumber] of steps) {
      expect(
        fixture.apply<LeaseResult>(claim(issuer), elapsedMilliseconds),
      ).toMatchObject({
        held,
        fencingNumber,
      });
      const snapshot = JSON.stringify(fixture.ledger.snapshot());
      fixture.ledger.restore(JSON.parse(snapshot) as never);
    }
  });
});
