import {appendFile, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';

import {type JournalEntry, type JournalRecord} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {JournalFile} from '../src/grants/journalFile.js';
import {JournalStore} from '../src/grants/journalStore.js';
import {CleanUps, temporaryFolder} from './fixtures.js';

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

const header: JournalEntry = {
  kind: 'header',
  grantId: 'a1',
  customer: 'exchange',
  holder: 'one#1',
};

function opened(sequence: number): JournalEntry {
  const record: JournalRecord = {
    sequence,
    requestKey: `exchange/desk/r${sequence}`,
    fingerprint: 'f',
    workspace: 'desk',
    target: {kind: 'model', name: 'summary'},
    maximumCost: 10,
    contractVersion: 1,
    traceId: 't',
  };
  return {kind: 'opened', record};
}

async function journalWith(entries: JournalEntry[]): Promise<string> {
  const file = path.join(await temporaryFolder(cleanUps), 'a1.journal');
  const journal = await JournalFile.open(file);
  await journal.append(entries);
  await journal.close();
  return file;
}

async function reopen(file: string): Promise<JournalEntry[]> {
  const journal = await JournalFile.open(file);
  await journal.close();
  return journal.entries;
}

describe('JournalFile', () => {
  it.each([
    ['an incomplete line', '01234567 {"kind":"ope'],
    ['a line with a wrong checksum', '01234567 {"kind":"sealed"}\n'],
  ])('truncates %s at the end and appends after it', async (_name, tail) => {
    const file = await journalWith([header, opened(1)]);
    await appendFile(file, tail);
    const journal = await JournalFile.open(file);
    await journal.append([opened(2)]);
    await journal.close();
    expect(await reopen(file)).toEqual([header, opened(1), opened(2)]);
  });

  // Guards against a part of a line that is taken for whole, or that joins the next.
  it('keeps the whole lines of a file that ends at any byte', async () => {
    const entries = [header, opened(1), opened(2)];
    const file = await journalWith(entries);
    const whole = await readFile(file);
    for (let length = 0; length < whole.length; length++) {
      const cut = whole.subarray(0, length);
      await writeFile(file, cut);
      const journal = await JournalFile.open(file);
      const kept = entries.slice(
        0,
        cut.toString('latin1').split('\n').length - 1,
      );
      expect(journal.entries).toEqual(kept);
      await journal.append([opened(3)]);
      await journal.close();
      expect(await reopen(file)).toEqual([...kept, opened(3)]);
    }
  });

  it('rejects a file that is damaged before its last line', async () => {
    const file = await journalWith([header, opened(1), opened(2)]);
    const text = await readFile(file, 'utf8');
    await writeFile(file, text.replace('exchange/desk/r1', 'exchange/desk/r9'));
    await expect(reopen(file)).rejects.toMatchObject({
      name: 'JournalCorruptError',
      line: 2,
    });
  });

  it('skips duplicate entries, and rejects appends once it is sealed', async () => {
    const file = await journalWith([header, opened(1)]);
    const journal = await JournalFile.open(file);
    await journal.append([opened(1), opened(1)]);
    await journal.append([{kind: 'sealed'}]);
    await expect(journal.append([opened(2)])).rejects.toMatchObject({
      name: 'JournalClosedError',
    });
    await journal.close();
    expect(await reopen(file)).toEqual([header, opened(1), {kind: 'sealed'}]);
  });
});

describe('JournalStore', () => {
  it('keeps journals across a restart, and creates none without a header', async () => {
    const dataFolder = await temporaryFolder(cleanUps);
    const store = await JournalStore.open({dataFolder});
    // Records lost with a disk must not be mistaken for an empty journal.
    await expect(store.append('a1', [opened(1)])).rejects.toMatchObject({
      name: 'JournalClosedError',
    });
    await store.append('a1', [header, opened(1)]);
    const settlement = {
      cost: 4,
      outcome: 'completed' as const,
      attempts: 1,
      settledAt: 5,
    };
    await store.append('a1', [{kind: 'settled', sequence: 1, settlement}]);
    await store.close();
    const again = await JournalStore.open({dataFolder});
    expect(again.headers()).toEqual([header]);
    expect(again.records('a1')).toMatchObject([{sequence: 1, settlement}]);
    await again.remove('a1');
    await again.close();
    expect((await JournalStore.open({dataFolder})).headers()).toEqual([]);
  });
});
