/**
 * @fileoverview File operations whose results survive a power failure.
 */
import {open, readFile, rename} from 'node:fs/promises';
import path from 'node:path';

/** Makes created, renamed and removed entries of a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file atomically; durable when it resolves. */
export async function replaceFile(file: string, text: string): Promise<void> {
  const temporary = `${file}.tmp`;
  const handle = await open(temporary, 'w');
  try {
    await handle.writeFile(text);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncFolder(path.dirname(file));
}

/** Reads a text file, or returns undefined if it does not exist. */
export async function readIfExists(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}
