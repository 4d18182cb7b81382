/**
 * @fileoverview Journals on this instance's disk: of its own grants, and of
 * holders without a disk.
 */
import {mkdir, open, readdir, rm} from 'node:fs/promises';
import path from 'node:path';

import {
  type JournalEntry,
  type JournalHeader,
  type JournalRecord,
} from '@dogwoodtrestle/schema';

import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {JournalClosedError} from './journalErrors.js';
import {JournalFile} from './journalFile.js';

/** Options of a journal store. */
export interface JournalStoreOptions {
  /** Folder of durable state, from the settings. */
  dataFolder: string;
  logger?: Logger;
}

const extension = '.journal';

/** All journals in one folder. */
export class JournalStore {
  private readonly files = new Map<string, JournalFile>();

  private constructor(
    private readonly folder: string,
    private readonly logger: Logger,
  ) {}

  /** Opens all journals; a damaged one is logged and left unchanged. */
  static async open(options: JournalStoreOptions): Promise<JournalStore> {
    const folder = path.join(options.dataFolder, 'journals');
    await mkdir(folder, {recursive: true});
    const store = new JournalStore(folder, options.logger ?? silentLogger);
    for (const name of await readdir(folder)) {
      if (name.endsWith(extension)) await store.openFile(name);
    }
    return store;
  }

  /** Headers of all journals. */
  headers(): JournalHeader[] {
    return [...this.files.values()].flatMap(({entries}) =>
      entries[0]?.kind === 'header' ? [entries[0]] : [],
    );
  }

  /**
   * Appends entries; a header creates the journal.
   *
   * @throws JournalClosedError if the journal is sealed or doesn't exist.
   */
  async append(grantId: string, entries: JournalEntry[]): Promise<void> {
    const file = await this.fileFor(grantId, entries[0]?.kind === 'header');
    await file.append(entries);
  }

  /** Permanently ends appends to a journal by its holder. */
  async seal(grantId: string): Promise<void> {
    const file = await this.fileFor(grantId, false);
    if (!file.sealed) await file.append([{kind: 'sealed'}]);
  }

  /** Records of a journal with their settlements, oldest first. */
  records(grantId: string): JournalRecord[] {
    return toRecords(this.files.get(grantId)?.entries ?? []);
  }

  /** Removes the journal of a grant whose return is committed. */
  async remove(grantId: string): Promise<void> {
    const file = this.files.get(grantId);
    if (file === undefined) return;
    this.files.delete(grantId);
    await file.close();
    await rm(this.pathOf(grantId), {force: true});
  }

  async close(): Promise<void> {
    for (const file of this.files.values()) await file.close();
  }

  private async fileFor(
    grantId: string,
    create: boolean,
  ): Promise<JournalFile> {
    const known = this.files.get(grantId);
    if (known !== undefined) return known;
    if (!create) {
      // Creating an empty file would hide records that were lost with a disk.
      throw new JournalClosedError(
        `no journal of grant ${grantId} exists on this instance`,
      );
    }
    const file = await JournalFile.open(this.pathOf(grantId));
    await syncFolder(this.folder);
    this.files.set(grantId, file);
    return file;
  }

  private async openFile(name: string): Promise<void> {
    const grantId = name.slice(0, -extension.length);
    try {
      const file = await JournalFile.open(this.pathOf(grantId));
      this.files.set(grantId, file);
    } catch (error) {
      this.logger.error({err: error, grantId}, 'journal cannot be read');
    }
  }

  private pathOf(grantId: string): string {
    return path.join(this.folder, grantId + extension);
  }
}

/** Combines journal entries into records with their settlements. */
export function toRecords(entries: JournalEntry[]): JournalRecord[] {
  const records = new Map<number, JournalRecord>();
  for (const entry of entries) {
    if (entry.kind === 'opened') {
      records.set(entry.record.sequence, {...entry.record});
    }
    if (entry.kind === 'settled') {
      const record = records.get(entry.sequence);
      if (record !== undefined) record.settlement ??= entry.settlement;
    }
  }
  return [...records.values()];
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
