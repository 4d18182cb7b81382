/**
 * @fileoverview Tests file storage, including torn and damaged files.
 */
import {
  appendFile,
  cp,
  mkdtemp,
  readdir,
  readFile,
  rm,
  truncate,
  writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CorruptFile,
  type Entry,
  FileStorage,
  type StoredSnapshot,
} from '../src/index.js';

let folder: string;
const opened: FileStorage[] = [];

beforeEach(async () => {
  folder = await mkdtemp(path.join(os.tmpdir(), 'file-storage-'));
});

afterEach(async () => {
  for (const storage of opened.splice(0)) await storage.close();
  await rm(folder, {recursive: true});
});

function entry(index: number, term = 1, text = 'x'.repeat(20)): Entry {
  return {index, term, timestamp: index, kind: 'commands', commands: [text]};
}

function entries(first: number, last: number, term = 1): Entry[] {
  return Array.from({length: last - first + 1}, (_, n) =>
    entry(first + n, term),
  );
}

function snapshot(index: number, term = 1): StoredSnapshot {
  const header = {index, term, timestamp: index, members: []};
  return {header, text: JSON.stringify({state: index})};
}

async function reopen(options = {}): Promise<FileStorage> {
  const storage = await FileStorage.open(folder, options);
  opened.push(storage);
  return storage;
}

/** Appends one frame and returns the contents of the segment file. */
async function appendOnce(frame: Entry[]): Promise<Buffer> {
  const storage = await reopen();
  await storage.append(frame);
  await storage.close();
  return readFile(segment());
}

const segment = () => path.join(folder, '0000000001.log');

/** For hundreds of files; one takes 72 ms on a busy disk. */
const slowDiskMilliseconds = 60_000;

describe('FileStorage', () => {
  it('loads the stored state and keeps its identity', async () => {
    const first = await reopen();
    await first.saveHardState({term: 7, votedFor: 'b'});
    await first.append(entries(1, 3));
    await first.append([entry(3, 2), entry(4, 2)]);
    await first.close();
    const second = await reopen();
    expect(second.identity).toBe(first.identity);
    expect(await second.load()).toEqual({
      hardState: {term: 7, votedFor: 'b'},
      snapshot: undefined,
      entries: [...entries(1, 2), ...entries(3, 4, 2)],
    });
  });

  it(
    'truncates a tail that is torn at any byte and appends after it',
    async () => {
      await appendOnce(entries(1, 2));
      const synced = (await appendOnce([entry(3)])).length;
      const whole = await appendOnce(entries(4, 5));
      for (let bytes = synced; bytes < whole.length; bytes += 3) {
        await writeFile(segment(), whole.subarray(0, bytes));
        await appendFile(segment(), Buffer.alloc(bytes % 2 === 0 ? 0 : 9));
        const torn = await reopen();
        expect((await torn.load()).entries).toEqual(entries(1, 3));
        await torn.append([entry(4, 2)]);
        await torn.close();
        const next = await reopen();
        expect((await next.load()).entries).toEqual([
          ...entries(1, 3),
          entry(4, 2),
        ]);
        await next.close();
      }
    },
    slowDiskMilliseconds,
  );

  it('rejects a log that is damaged at any byte before its tail', async () => {
    const firstFrame = (await appendOnce(entries(1, 2))).length;
    await appendOnce([entry(3)]);
    const whole = await appendOnce([entry(4)]);
    const lastFrame = (whole.length - firstFrame) / 2 + firstFrame;
    for (let offset = 0; offset < lastFrame; offset += 5) {
      const damaged = Buffer.from(whole);
      damaged[offset]! ^= 0x10;
      await writeFile(segment(), damaged);
      const error = await reopen().catch((e: unknown) => e);
      expect(error).toBeInstanceOf(CorruptFile);
      expect(error).toMatchObject({
        message: `log file ${segment()} is damaged at byte ${offset < firstFrame ? 0 : firstFrame}`,
        file: segment(),
        offset: offset < firstFrame ? 0 : firstFrame,
      });
    }
  });

  it('ignores the unused space of a segment after a crash', async () => {
    const storage = await reopen();
    await storage.append(entries(1, 2));
    const next = await reopen(); // the first storage didn't close its file
    await next.append([entry(3)]);
    const last = await reopen();
    expect((await last.load()).entries).toEqual(entries(1, 3));
  });

  it('rejects a log with a missing segment', async () => {
    const storage = await reopen({segmentBytes: 1});
    await storage.append(entries(1, 2));
    await storage.append(entries(3, 4));
    await storage.append(entries(5, 6));
    await storage.close();
    await rm(path.join(folder, '0000000002.log'));
    await expect(reopen()).rejects.toThrow(/0000000003.log is damaged/);
  });

  it('rejects a truncated segment that is not the last one', async () => {
    const storage = await reopen({segmentBytes: 1});
    await storage.append(entries(1, 2));
    await storage.append(entries(3, 4));
    await storage.close();
    await truncate(segment(), 30);
    await expect(reopen()).rejects.toThrow(/0000000001.log is damaged/);
  });

  const corruptions: [string, (file: string) => Promise<void>, RegExp][] = [
    ['snapshot.json', file => writeFile(file, 'x'), /snapshot.json is damaged/],
    [
      'snapshot.json',
      file => appendFile(file, ' '),
      /snapshot.json is damaged/,
    ],
    ['vote.json', file => writeFile(file, '{'), /vote.json is damaged/],
    ['vote.json', file => rm(file), /vote.json is missing/],
    ['identity.json', file => rm(file), /identity.json is missing/],
  ];
  it.each(corruptions)(
    'rejects a damaged or missing %s',
    async (name, damage, message) => {
      const storage = await reopen();
      await storage.append(entries(1, 4));
      await storage.saveSnapshot(snapshot(4), 0);
      await storage.close();
      await damage(path.join(folder, name));
      const opening = reopen().then(next => next.load());
      await expect(opening).rejects.toThrow(message);
    },
  );

  it.each(['snapshot.json', 'vote.json', 'identity.json'])(
    'rejects a %s that ends at any byte',
    async name => {
      const storage = await reopen();
      await storage.append(entries(1, 4));
      await storage.saveSnapshot(snapshot(4), 0);
      await storage.close();
      const file = path.join(folder, name);
      const whole = await readFile(file, 'utf8');
      for (let length = 0; length < whole.trimEnd().length; length++) {
        await writeFile(file, whole.slice(0, length));
        const opening = reopen().then(next => next.load());
        await expect(opening).rejects.toThrow(CorruptFile);
      }
    },
    slowDiskMilliseconds,
  );

  it('keeps sealed segments as history', async () => {
    const storage = await reopen({segmentBytes: 1});
    await storage.append(entries(1, 3));
    await storage.append([...entries(3, 5, 2)]);
    await storage.append(entries(6, 8, 2));
    await storage.saveSnapshot(snapshot(6, 2), 5);
    expect(await readdir(path.join(folder, 'history'))).toHaveLength(2);
    await storage.close();
    const next = await reopen();
    expect((await next.load()).entries).toEqual(entries(6, 8, 2));
    const all = [...entries(1, 2), ...entries(3, 8, 2)];
    expect(await next.history(0, 100, 8)).toEqual(all);
    expect(await next.history(1, 3, 8)).toEqual(all.slice(1, 4));
    expect(await next.history(5, 100, 7)).toEqual(all.slice(5, 7));
  });

  // Guards against a file that ends between two frames and looks whole: readers of
  // the history got entries with some missing among them.
  it('rejects a sealed segment that ends at any byte', async () => {
    const storage = await reopen();
    await storage.append(entries(1, 2));
    await storage.append([entry(3)]);
    await storage.saveSnapshot(snapshot(3), 3);
    await storage.append([entry(4)]);
    await storage.close();
    const file = path.join(folder, 'history', '0000000001-1-3.log');
    const whole = await readFile(file);
    const next = await reopen();
    for (let bytes = 0; bytes < whole.length; bytes++) {
      await writeFile(file, whole.subarray(0, bytes));
      const error = await next.history(0, 9, 4).catch((e: unknown) => e);
      expect({bytes, error}).toEqual({bytes, error: expect.any(CorruptFile)});
    }
    await writeFile(file, whole);
    expect(await next.history(0, 9, 4)).toEqual(entries(1, 4));
  });

  it('discards uncommitted entries when a snapshot is installed', async () => {
    const storage = await reopen();
    await storage.append(entries(1, 9));
    await storage.installSnapshot(snapshot(20, 3), 4);
    const gap = {afterIndex: 4, lastIndex: 20};
    expect(await storage.historyGap(20)).toEqual(gap);
    await storage.append([entry(21, 3)]);
    expect(await storage.historyGap(20)).toEqual(gap);
    await storage.addHistory(entries(5, 20, 3));
    await storage.close();
    const next = await reopen();
    expect(await next.historyGap(20)).toBe(undefined);
    expect((await next.load()).entries).toEqual([entry(21, 3)]);
    expect(await next.history(0, 100, 21)).toEqual([
      ...entries(1, 4),
      ...entries(5, 21, 3),
    ]);
  });

  it('completes a snapshot installation that was interrupted by a crash', async () => {
    const storage = await reopen();
    await storage.append(entries(1, 9));
    const before = `${folder}-copy`;
    await cp(folder, before, {recursive: true});
    await storage.installSnapshot(snapshot(5, 3), 4);
    await storage.close();
    await cp(path.join(folder, 'snapshot.json'), `${before}/snapshot.json`);
    await rm(folder, {recursive: true});
    await cp(before, folder, {recursive: true});
    await rm(before, {recursive: true});
    const next = await reopen();
    expect((await next.load()).entries).toEqual([]);
  });
});

describe('FileStorage without a history', () => {
  it('removes segments before the snapshot and loads the rest', async () => {
    const options = {segmentBytes: 200, keepsHistory: false};
    const storage = await reopen(options);
    for (let index = 1; index <= 30; index++) {
      await storage.append([entry(index)]);
    }
    const before = (await readdir(folder)).length;
    await storage.saveSnapshot(snapshot(28), 25);
    expect((await readdir(folder)).length).toBeLessThan(before);
    expect(await readdir(path.join(folder, 'history'))).toEqual([]);
    expect(await storage.historyGap(28)).toBeUndefined();
    await storage.close();
    const loaded = await (await reopen(options)).load();
    expect(loaded.snapshot?.header.index).toBe(28);
    expect(loaded.entries.at(-1)?.index).toBe(30);
  });
});
