/**
 * @fileoverview Waits at the start of a control process until its disk accepts
 * writes. A replica whose disk is full can neither vote nor acknowledge
 * entries, so its process exits; restarting in a loop would not free space.
 */
import {mkdir, open, rm} from 'node:fs/promises';
import path from 'node:path';

import {type Clock, type Logger, sleep} from '@dogwoodtrestle/runtime';

/** Interval at which a full disk is probed again. */
const retryIntervalMilliseconds = 250;

/** Error codes of a full disk or an exhausted quota. */
const fullDiskCodes: ReadonlySet<string | undefined> = new Set([
  'ENOSPC',
  'EDQUOT',
]);

/** Options of {@link waitForDiskSpace}. */
export interface DiskSpaceOptions {
  folder: string;
  clock: Clock;
  logger: Logger;
  /** Performs a durable write in the folder; replaced in tests. */
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
  probe = writeProbeFile,
}: DiskSpaceOptions): Promise<void> {
  for (let tries = 1; ; tries++) {
    try {
      await probe(folder);
      if (tries > 1) logger.info({folder, tries}, 'the disk has space again');
      return;
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      if (!fullDiskCodes.has(code)) throw error;
      if (tries === 1) {
        logger.warn(
          {err: error, folder},
          'the disk is full; waiting for space',
        );
      }
    }
    await sleep(clock, retryIntervalMilliseconds);
  }
}

async function writeProbeFile(folder: string): Promise<void> {
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
