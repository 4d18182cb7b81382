/** @fileoverview Tests that audits detect inconsistent histories, balances and bills. */
import {
  type AuditEvidence,
  type AuditReport,
  auditHistory,
  HistoryAuditor,
  type HistoryEntry,
} from '@dogwoodtrestle/ledger';
import {type Command} from '@dogwoodtrestle/schema';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  applyContractCommand,
  takeGrantCommand,
  LedgerFixture,
  openRequestCommand,
  createJournalRecord,
  settleRequestCommand,
} from './fixtures.js';

interface AuditInput {
  entries: HistoryEntry[];
  evidence: Required<Omit<AuditEvidence, 'asOf'>>;
}

/** Returns a history with requests, a grant and a top-up, and its evidence. */
function createAuditInput(): AuditInput {
  const fixture = new LedgerFixture();
  const commands: Command[] = [
    applyContractCommand('first', 0),
    {
      kind: 'topUp',
      changeId: 't',
      operator: 'ann',
      customer: 'barley',
      amount: 50,
    },
    takeGrantCommand(),
    openRequestCommand(),
    openRequestCommand({requestKey: 'k2', maximumCost: 90}),
    settleRequestCommand({cost: 8, usage: {inputTokens: 2, outputTokens: 3}}),
    {
      kind: 'mergeJournal',
      grantId: 'g1',
      records: [createJournalRecord(1, 30)],
    },
    settleRequestCommand({cost: 9}),
    {kind: 'returnGrant', grantId: 'g1', records: [createJournalRecord(2, 40)]},
    openRequestCommand({requestKey: 'k3', maximumCost: 10}),
    settleRequestCommand({requestKey: 'barley/desk/k3', cost: 10}),
  ];
  const entries = commands.map((command, position) => {
    fixture.apply(command, 1);
    const index = position + 1;
    return {
      index,
      term: 1,
      timestamp: fixture.now,
      kind: 'commands',
      commands: [command],
    };
  });
  const bills = fixture.ledger.takeBills();
  return {entries, evidence: {budgets: fixture.ledger.budgets(), bills}};
}

function runAudit({entries, evidence}: AuditInput): AuditReport {
  return auditHistory(entries, evidence);
}

/** Name, alteration and expected finding. */
const corruptions: Array<[string, (input: AuditInput) => void, object]> = [
  [
    'a balance',
    ({evidence}) => evidence.budgets[0]!.billed--,
    {
      customer: 'barley',
      index: 11,
      message: expect.stringContaining(
        'billed is shown as 87, the history gives 88',
      ),
    },
  ],
  [
    'a prepaid amount',
    ({evidence}) => (evidence.budgets[0]!.prepaid = 1500),
    {
      customer: 'barley',
      index: 11,
      message: expect.stringContaining(
        'prepaid is shown as 1500, the history gives 1050',
      ),
    },
  ],
  [
    'an archived cost',
    ({evidence}) => evidence.bills[1]!.cost++,
    {
      customer: 'barley',
      index: 7,
      message: expect.stringContaining('is 31, the history gives 30'),
    },
  ],
  [
    'a missing archived bill',
    ({evidence}) => evidence.bills.splice(2, 1),
    {
      customer: 'barley',
      index: 9,
      message: expect.stringContaining('not archived'),
    },
  ],
  [
    'a duplicate archived bill',
    ({evidence}) => evidence.bills.push(evidence.bills[0]!),
    {
      customer: 'barley',
      index: 6,
      message: expect.stringContaining('archived twice'),
    },
  ],
  [
    'a settlement in the history',
    ({entries}) =>
      (entries[5]!.commands = [
        settleRequestCommand({
          cost: 7,
          usage: {inputTokens: 2, outputTokens: 3},
        }),
      ]),
    {
      customer: 'barley',
      index: 6,
      message: expect.stringContaining('its usage at its prices is 8'),
    },
  ],
  [
    'a top-up in the history',
    ({entries}) => ((entries[1]!.commands![0] as {amount: number}).amount = 51),
    {
      customer: 'barley',
      index: 11,
      message: expect.stringContaining('topped up is shown as 50'),
    },
  ],
  [
    'a missing entry',
    ({entries}) => entries.splice(7, 1),
    {index: 9, message: 'entry 9: follows entry 7'},
  ],
  [
    'an invalid command',
    ({entries}) =>
      (entries[3]!.commands = [{...openRequestCommand(), maximumCost: -1}]),
    {index: 4, message: expect.stringContaining('/maximumCost must be >= 0')},
  ],
  [
    'a timestamp that decreases',
    ({entries}) => (entries[4]!.timestamp -= 5),
    {index: 5, message: 'entry 5: time goes back by 4 ms'},
  ],
  [
    'a balance that is not reported',
    ({evidence}) => evidence.budgets.pop(),
    {
      customer: 'barley',
      index: 11,
      message: expect.stringContaining('none is shown'),
    },
  ],
];

describe('auditHistory', () => {
  it('reports counts and no findings for consistent input', () => {
    expect(runAudit(createAuditInput())).toEqual({
      checked: {
        entries: 11,
        commands: 11,
        customers: 1,
        contractVersions: 1,
        topUps: 1,
        opens: 3,
        grants: 1,
        bills: 4,
        billedAmount: 88,
        balances: 1,
        balancesSkipped: 0,
        archivedBills: 4,
      },
      findings: [],
    });
  });

  it.each(corruptions)('reports %s', (_name, corrupt, finding) => {
    const altered = createAuditInput();
    corrupt(altered);
    expect(runAudit(altered).findings).toContainEqual(finding);
  });

  it('counts a change whose id is reused after the retention', () => {
    const options = {changeRetentionMilliseconds: 1000};
    const topUp: Command = {
      kind: 'topUp',
      changeId: 't',
      operator: 'ann',
      customer: 'barley',
      amount: 50,
    };
    const fixture = new LedgerFixture(options);
    const steps: Array<[Command, number]> = [
      [applyContractCommand('first', 0), 0],
      [topUp, 0],
      [topUp, 500],
      [topUp, 501],
    ];
    const entries = steps.map(([command, elapsedMilliseconds], position) => {
      fixture.apply(command, elapsedMilliseconds);
      const index = position + 1;
      const timestamp = fixture.now;
      return {index, term: 1, timestamp, kind: 'commands', commands: [command]};
    });
    const budgets = fixture.ledger.budgets();
    expect(budgets).toMatchObject([{toppedUp: 100}]);
    expect(auditHistory(entries, {budgets}, options)).toMatchObject({
      checked: {topUps: 2},
      findings: [],
    });
  });

  it('audits a cluster that keeps processing commands', () => {
    const {entries, evidence} = createAuditInput();
    const earlyFixture = new LedgerFixture();
    const history = new HistoryAuditor();
    const addTo = (index: number) => {
      for (const entry of entries.slice(history.lastIndex, index)) {
        history.add(entry);
      }
    };
    for (const {commands} of entries.slice(0, 7)) {
      earlyFixture.apply(commands![0] as Command, 1);
    }
    const earlyEvidence = {
      budgets: earlyFixture.ledger.budgets(),
      bills: earlyFixture.ledger.takeBills(),
    };
    addTo(7);
    addTo(9);
    expect(history.finish({...earlyEvidence, asOf: 7})).toMatchObject({
      checked: {balances: 0, balancesSkipped: 1, archivedBills: 2},
      findings: [],
    });
    addTo(11);
    expect(history.finish({...evidence, asOf: 11})).toMatchObject({
      checked: {balances: 1, balancesSkipped: 0, archivedBills: 4},
      findings: [],
    });
  });

  it('reports any altered cost or balance', () => {
    const names = [
      'billed',
      'reserved',
      'granted',
      'toppedUp',
      'openRequests',
    ] as const;
    fc.assert(
      fc.property(
        fc.constantFrom(...names),
        fc.nat(3),
        fc.integer({min: 1, max: 1_000_000}),
        fc.boolean(),
        (name, position, amount, isBill) => {
          const altered = createAuditInput();
          if (isBill) altered.evidence.bills[position]!.cost += amount;
          else altered.evidence.budgets[0]![name] += amount;
          const {findings} = runAudit(altered);
          expect(findings).toHaveLength(1);
          expect(findings[0]).toMatchObject({
            customer: 'barley',
            index: expect.any(Number),
          });
        },
      ),
      {seed: 20261203, numRuns: 100},
    );
  });
});
