/** @fileoverview Tests each refusal, and that a refused command changes no amount. */
import {type Command, type Result} from '@dogwoodtrestle/schema';
import {describe, expect, it} from 'vitest';

import {
  applyContractCommand,
  takeGrantCommand,
  LedgerFixture,
  openRequestCommand,
  createJournalRecord,
  second,
  settleRequestCommand,
} from './fixtures.js';

const hour = 3600 * second;

interface RefusalCase {
  name: string;
  before?: Command[];
  elapsedMilliseconds?: number;
  command: Command;
  expected: Record<string, unknown>;
}

const retire: Command = {
  kind: 'retireContract',
  changeId: 'end',
  operator: 'ann',
  expectedVersion: 1,
  customer: 'barley',
};

const cases: RefusalCase[] = [
  {
    name: 'unknownCustomer',
    command: openRequestCommand({customer: 'nobody'}),
    expected: {code: 'unknownCustomer'},
  },
  {
    name: 'unknownWorkspace',
    command: openRequestCommand({workspace: 'nowhere'}),
    expected: {code: 'unknownWorkspace'},
  },
  {
    name: 'modelNotAllowed',
    command: openRequestCommand({target: {kind: 'model', name: 'x'}}),
    expected: {code: 'modelNotAllowed'},
  },
  {
    name: 'serviceNotAllowed',
    command: openRequestCommand({target: {kind: 'service', name: 'm'}}),
    expected: {code: 'serviceNotAllowed'},
  },
  {
    name: 'contractRetired on open',
    before: [retire],
    command: openRequestCommand({contractVersion: 2}),
    expected: {code: 'contractRetired', contractVersion: 2},
  },
  {
    name: 'contractRetired on grant',
    before: [retire],
    command: takeGrantCommand({contractVersion: 2}),
    expected: {code: 'contractRetired', contractVersion: 2},
  },
  {
    name: 'staleContract on open',
    before: [applyContractCommand('c2', 1, {priority: 'urgent'})],
    command: openRequestCommand(),
    expected: {code: 'staleContract', contractVersion: 2},
  },
  {
    name: 'staleContract on renewal',
    before: [
      takeGrantCommand(),
      applyContractCommand('c2', 1, {priority: 'urgent'}),
    ],
    command: takeGrantCommand(),
    expected: {code: 'staleContract', contractVersion: 2},
  },
  {
    name: 'budgetExhausted, with the recallable grants',
    before: [
      openRequestCommand({maximumCost: 500}),
      takeGrantCommand({amount: 100}),
      openRequestCommand({requestKey: 'k2', maximumCost: 300}),
      settleRequestCommand({requestKey: 'barley/desk/k2', cost: 300}),
    ],
    command: openRequestCommand({requestKey: 'k3', maximumCost: 101}),
    expected: {
      code: 'budgetExhausted',
      available: 100,
      reserved: 500,
      recallable: [{grantId: 'g1', holder: 'r1', remaining: 100}],
    },
  },
  {
    name: 'workspaceShareExhausted, with the reserved amount',
    before: [openRequestCommand({workspace: 'lab', maximumCost: 150})],
    command: openRequestCommand({
      requestKey: 'k2',
      workspace: 'lab',
      maximumCost: 51,
    }),
    expected: {
      code: 'workspaceShareExhausted',
      available: 50,
      reserved: 150,
      recallable: [],
    },
  },
  {
    name: 'workspaceShareExhausted while a grant holds part of the share',
    before: [takeGrantCommand({amount: 300})],
    command: openRequestCommand({workspace: 'lab', maximumCost: 141}),
    expected: {code: 'workspaceShareExhausted', available: 140},
  },
  {
    name: 'keyReused',
    before: [openRequestCommand()],
    command: openRequestCommand({fingerprint: 'other'}),
    expected: {code: 'keyReused'},
  },
  {
    name: 'keyTooOld on open',
    before: [openRequestCommand(), settleRequestCommand()],
    elapsedMilliseconds: hour + 1,
    command: openRequestCommand(),
    expected: {code: 'keyTooOld'},
  },
  {
    name: 'keyTooOld on settlement',
    before: [openRequestCommand(), settleRequestCommand()],
    elapsedMilliseconds: hour + 1,
    command: settleRequestCommand(),
    expected: {code: 'keyTooOld'},
  },
  {
    name: 'unknownRequest on settlement',
    command: settleRequestCommand(),
    expected: {code: 'unknownRequest'},
  },
  {
    name: 'unknownRequest on adoption',
    command: {
      kind: 'adoptRequest',
      requestKey: 'barley/desk/k1',
      expectedAttempt: 1,
      holder: 'r2',
    },
    expected: {code: 'unknownRequest'},
  },
  {
    name: 'attemptSuperseded on adoption',
    before: [openRequestCommand()],
    command: {
      kind: 'adoptRequest',
      requestKey: 'barley/desk/k1',
      expectedAttempt: 2,
      holder: 'r2',
    },
    expected: {code: 'attemptSuperseded'},
  },
  {
    name: 'attemptSuperseded if an earlier attempt did not run',
    before: [
      openRequestCommand(),
      {
        kind: 'adoptRequest',
        requestKey: 'barley/desk/k1',
        expectedAttempt: 1,
        holder: 'r2',
      },
    ],
    command: settleRequestCommand({outcome: 'didNotRun', cost: 0}),
    expected: {code: 'attemptSuperseded'},
  },
  {
    name: 'notIdempotent',
    before: [openRequestCommand({idempotent: false})],
    command: {
      kind: 'adoptRequest',
      requestKey: 'barley/desk/k1',
      expectedAttempt: 1,
      holder: 'r2',
    },
    expected: {code: 'notIdempotent'},
  },
  {
    name: 'unknownGrant on merge',
    command: {
      kind: 'mergeJournal',
      grantId: 'g1',
      records: [createJournalRecord(1, 1)],
    },
    expected: {code: 'unknownGrant'},
  },
  {
    name: 'unknownGrant on a grant that was returned',
    before: [
      takeGrantCommand(),
      {kind: 'returnGrant', grantId: 'g1', records: []},
    ],
    command: takeGrantCommand(),
    expected: {code: 'unknownGrant'},
  },
  {
    name: 'unknownGrant after the retention of the return',
    before: [
      takeGrantCommand(),
      {kind: 'returnGrant', grantId: 'g1', records: []},
    ],
    elapsedMilliseconds: 2 * hour,
    command: takeGrantCommand(),
    expected: {code: 'unknownGrant'},
  },
  {
    name: 'grantLimitReached',
    before: [takeGrantCommand({amount: 300})],
    command: takeGrantCommand({grantId: 'g2'}),
    expected: {code: 'grantLimitReached', available: 700},
  },
];

describe('refusals', () => {
  it.each(cases)(
    '$name',
    ({before = [], elapsedMilliseconds = 0, command, expected}) => {
      const fixture = LedgerFixture.withContract();
      fixture.applyAll(before);
      const budget = fixture.ledger.budget('barley');
      const result = fixture.apply<Result>(command, elapsedMilliseconds);
      expect(result).toMatchObject({kind: 'refused', ...expected});
      const after = fixture.ledger.budget('barley');
      expect(after?.available).toBe(budget?.available);
      expect(fixture.ledger.verifySums()).toEqual([]);
    },
  );
});
