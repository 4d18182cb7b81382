import {mkdtemp, readdir, readFile, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {FolderInUseError, lockFolder} from '../src/util/folderLock.js';

/** Called when a file that is being written has its first bytes. */
let onPartWritten: () => Promise<void> = () => Promise.resolve();

vi.mock('node:fs/promises', async importOriginal => {
  const files = await importOriginal<{writeFile: typeof writeFile}>();
  const writeSlowly = async (file: string, text: string, options?: object) => {
    await files.writeFile(file, text.slice(0, 2), options);
    await onPartWritten();
    await files.writeFile(file, text);
  };
  return {...files, writeFile: writeSlowly};
});

let folder: string;

beforeEach(async () => {
  folder = await mkdtemp(path.join(os.tmpdir(), 'lock-'));
});

afterEach(async () => {
  onPartWritten = () => Promise.resolve();
  await rm(folder, {recursive: true});
});

/** Locks and releases the folder; returns the contents of the lock file. */
async function ownLock(): Promise<string> {
  const release = await lockFolder(folder);
  const text = await readFile(lockFile(), 'utf8');
  await release();
  return text;
}

function lockFile(): string {
  return path.join(folder, 'process.lock');
}

describe('lockFolder', () => {
  it('throws if a running process uses the folder', async () => {
    const stat = await readFile(`/proc/${process.ppid}/stat`, 'utf8');
    const start = stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19];
    await writeFile(lockFile(), `${process.ppid} ${start}`);
    const attempt = lockFolder(folder);
    await expect(attempt).rejects.toBeInstanceOf(FolderInUseError);
    await expect(attempt).rejects.toThrow(`process ${process.ppid}`);
  });

  const stale = [
    {name: 'a process that has ended', lock: '999999999 1'},
    {name: 'an earlier process with the same id', lock: `${process.ppid} 1`},
    {name: 'no process', lock: ''},
  ];
  it.each(stale)('replaces the lock of $name', async ({lock}) => {
    await writeFile(lockFile(), lock);
    expect(await ownLock()).toMatch(new RegExp(`^${process.pid} `));
    await (
      await lockFolder(folder)
    )();
  });

  // Guards against a part of a lock that looks like that of a process that has ended:
  // another one that starts meanwhile took the folder too.
  it('shows no part of its lock to others', async () => {
    let parts = 0;
    onPartWritten = async () => {
      parts++;
      const seen = await readFile(lockFile(), 'utf8').catch(() => undefined);
      expect(seen).toBeUndefined();
    };
    expect(await ownLock()).toMatch(new RegExp(`^${process.pid} `));
    expect(parts).toBe(1);
    expect(await readdir(folder)).toEqual([]);
  });
});
