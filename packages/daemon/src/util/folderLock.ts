/**
 * @fileoverview Lock file that keeps two processes from using one data folder.
 *
 * The lock identifies its process by id and start time, since the system reuses
 * process ids.
 */
import {randomUUID} from 'node:crypto';
import {link, readFile, rm, writeFile} from 'node:fs/promises';
import path from 'node:path';

const fileName = 'process.lock';

/** Index of the start time in the fields of /proc/PID/stat after the name. */
const startTimeField = 19;

/** Another process uses the data folder. */
export class FolderInUseError extends Error {
  constructor(folder: string, owner: string) {
    const [pid] = owner.split(' ');
    super(`data folder '${folder}' is in use by process ${pid}`);
    this.name = 'FolderInUseError';
  }
}

/**
 * Locks a folder for this process. The lock of a process that has ended is
 * replaced.
 *
 * @returns A function that releases the lock.
 * @throws FolderInUseError if the process that holds the lock is running.
 */
export async function lockFolder(folder: string): Promise<() => Promise<void>> {
  const file = path.join(folder, fileName);
  const release = () => rm(file, {force: true});
  const own = await describeProcess(process.pid);
  // Others must not read a lock that is being written.
  const whole = `${file}.${randomUUID()}`;
  await writeFile(whole, own, {flag: 'wx'});
  try {
    for (;;) {
      try {
        await link(whole, file);
        return release;
      } catch (error) {
        if ((error as {code?: string}).code !== 'EEXIST') throw error;
      }
      const owner = await readFile(file, 'utf8').catch(() => '');
      if (owner !== own && (await isRunning(owner))) {
        throw new FolderInUseError(folder, owner);
      }
      await release();
    }
  } finally {
    await rm(whole, {force: true});
  }
}

async function isRunning(owner: string): Promise<boolean> {
  const pid = Number.parseInt(owner, 10);
  return pid > 0 && (await describeProcess(pid)) === owner;
}

/** Returns the id and start time of a process, or only the id without /proc. */
async function describeProcess(pid: number): Promise<string> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return `${pid} ${fields[startTimeField] ?? ''}`;
}
