/**
 * @fileoverview Keeps two processes from using one data folder.
 *
 * The lock names its process by id and start time, since ids are used again.
 */
import {readFile, rm, writeFile} from 'node:fs/promises';
import path from 'node:path';

const fileName = 'process.lock';

/** Position of the start time in /proc/PID/stat, behind the command's name. */
const startTimeField = 19;

/** A data folder that another process uses. */
export class FolderInUseError extends Error {
  constructor(folder: string, owner: string) {
    const [pid] = owner.split(' ');
    super(`data folder '${folder}' is in use by process ${pid}`);
    this.name = 'FolderInUseError';
  }
}

/**
 * Takes a folder for this process.
 *
 * @returns A function that gives it back.
 * @throws FolderInUseError while the process that took it is running. The lock
 *     of a process that has died is taken over.
 */
export async function lockFolder(folder: string): Promise<() => Promise<void>> {
  const file = path.join(folder, fileName);
  const release = () => rm(file, {force: true});
  const own = await describeProcess(process.pid);
  for (;;) {
    try {
      await writeFile(file, own, {flag: 'wx'});
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
}

async function isRunning(owner: string): Promise<boolean> {
  const pid = Number.parseInt(owner, 10);
  return pid > 0 && (await describeProcess(pid)) === owner;
}

/** Id and start time of a process; only the id where there is no /proc. */
async function describeProcess(pid: number): Promise<string> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return `${pid} ${fields[startTimeField] ?? ''}`;
}
