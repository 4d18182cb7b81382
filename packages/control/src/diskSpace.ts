/**
 * @fileoverview Waits at the start of a control process until its disk takes
 * writes. A replica whose disk is full can neither vote nor acknowledge entries,
 * so it ends; ending again and again would not make room.
 */
import {mkdir, open, rm} from 'node:fs/promises';
import path from 'node:path';

import {type Clock, type Logger, sleep} from '@dogwoodtrestle/runtime';

/** Interval at which a full disk is tried again. */
const retryMilliseconds = 250;

/** Errors that end once there is room. */
const fullDiskCodes: ReadonlySet<string | undefined> = new Set([
  'ENOSPC',
  'EDQUOT',
]);

export interface DiskSpaceOptions {
  folder: string;
  clock: Clock;
  logger: Logger;
  /** Writes to the folder durably; replaced in tests. */
  probe?: (folder: string) => Promise<void>;
}

/**
 * Resolves once a write to the folder is durable.
 *
 * @throws Errors of the file system other than a full disk.
 */
export async function waitForDiskSpace({
  folder,
  clock,
  logger,
  probe = writeProbe,
}: DiskSpaceOptions): Promise<void> {
  for (let tries = 1; ; tries++) {
    try {
      await probe(folder);
      if (tries > 1) logger.info({folder, tries}, 'the disk has room again');
      return;
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      if (!fullDiskCodes.has(code)) throw error;
      if (tries === 1) {
        logger.warn({err: error, folder}, 'the disk is full; waiting for room');
      }
    }
    await sleep(clock, retryMilliseconds);
  }
}

async function writeProbe(folder: string): Promise<void> {
  await mkdir(folder, {recursive: true});
  const file = path.join(folder, 'probe.tmp');
  const handle = await open(file, 'w');
  try {
    await handle.writeFile('probe');
    await handle.datasync();
  } finally {
    await handle.close();
  }
  await rm(file, {force: true});
}
