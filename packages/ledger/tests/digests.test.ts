/**
 * @fileoverview Digests over JSON that replicas store. Guards against another
 * name or order of properties, which the types don't show: a change that an
 * earlier build recorded would count as another one, and an earlier snapshot
 * would not be read.
 */
import {createHash} from 'node:crypto';

import {Ledger} from '@dogwoodtrestle/ledger';
import {type Command} from '@dogwoodtrestle/schema';
import {expect, it} from 'vitest';

import {
  applyContractCommand,
  takeGrantCommand,
  openRequestCommand,
  createJournalRecord,
  settleRequestCommand,
} from './fixtures.js';

it('keeps the digest of a change, and the text of a snapshot', () => {
  const ledger = new Ledger();
  const commands: Command[] = [
    applyContractCommand('c-1', 0),
    openRequestCommand({requestKey: 'barley/desk/k1'}),
    openRequestCommand({requestKey: 'barley/desk/k2'}),
    settleRequestCommand({requestKey: 'barley/desk/k1'}),
    takeGrantCommand(),
    {
      kind: 'mergeJournal',
      grantId: 'g1',
      records: [createJournalRecord(1, 10), createJournalRecord(2)],
    },
    {
      kind: 'topUp',
      changeId: 't-1',
      operator: 'ann',
      customer: 'barley',
      amount: 5,
    },
  ];
  const results = commands.map((command, index) =>
    ledger.apply(command, {
      index: index + 1,
      timestamp: 1_000 + index,
    }),
  );
  const text = JSON.stringify(ledger.snapshot());
  expect(/"digest":"(\w+)"/.exec(text)?.[1]).toBe(
    'dbeaf19ea585f57a68609a3c998b594ba6c9ca5a80f003df79cb16a01b3234d7',
  );
  expect(sha256(text)).toBe(
    '19aab020063ecaf4c1ea6c51a3c0521303ca42d18d240bb2ba5eeee3b211be2f',
  );
  expect(sha256(JSON.stringify(results))).toBe(
    '008900403924221fb7243453d40ff969d0056896da70991ab25f2a96fe30de97',
  );
  expect(results.map(({kind}) => kind)).toEqual([
    'change',
    'opened',
    'opened',
    'billed',
    'granted',
    'merged',
    'change',
  ]);
});

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
