import {mkdtempSync, readdirSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';

import {type Clock, silentLogger} from '@dogwoodtrestle/runtime';
import {describe, expect, it} from 'vitest';

import {waitForDiskSpace} from '../src/diskSpace.js';

/** A clock whose timers fire immediately. */
const clock: Clock = {
  now: () => 0,
  wallNow: () => 0,
  setTimer: (_, callback) => {
    setImmediate(callback);
    return () => undefined;
  },
};

function createOptions(probe?: (folder: string) => Promise<void>) {
  const parent = mkdtempSync(path.join(os.tmpdir(), 'dogwoodtrestle-disk-'));
  const folder = path.join(parent, 'replica');
  return {folder, clock, logger: silentLogger, probe};
}

/** Creates a probe that fails a number of times with an error code. */
function createProbe(code: string, failures: number) {
  let tries = 0;
  const probe = async () => {
    if (tries++ < failures) throw Object.assign(new Error(code), {code});
  };
  return {probe, tries: () => tries};
}

describe('a control process whose disk is full', () => {
  // Guards against a restart loop while the disk is full.
  it('waits for free space instead of exiting at its start', async () => {
    const {probe, tries} = createProbe('ENOSPC', 5);
    await waitForDiskSpace(createOptions(probe));
    expect(tries()).toBe(6);
  });

  it('fails at its start for any other error', async () => {
    const {probe} = createProbe('EIO', 1);
    const start = waitForDiskSpace(createOptions(probe));
    await expect(start).rejects.toThrow('EIO');
  });

  it('leaves no file behind', async () => {
    const options = createOptions();
    await waitForDiskSpace(options);
    expect(readdirSync(options.folder)).toEqual([]);
  });
});
