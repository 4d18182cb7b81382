/**
 * @fileoverview Durable journal of one grant in a file.
 *
 * Entries are appended and synced before `append` resolves; entries that
 * arrive during a sync share the next one. An incomplete last line is truncated
 * when the file is opened; damage before it makes the journal unusable.
 */
import {type FileHandle, open, readFile} from 'node:fs/promises';

import {type JournalEntry} from '@dogwoodtrestle/schema';

import {JournalClosedError, JournalCorruptError} from './journalErrors.js';
import {decodeLine, encodeLine} from './journalLine.js';

interface PendingAppend {
  entries: JournalEntry[];
  resolve: () => void;
  reject: (error: Error) => void;
}

/** An open journal file. */
export class JournalFile {
  private pending: PendingAppend[] = [];
  private writing: Promise<void> | undefined;
  private failure: Error | undefined;
  private closed = false;
  private readonly keys: Set<string>;

  private constructor(
    private readonly handle: FileHandle,
    /** All durable entries, the header first. */
    readonly entries: JournalEntry[],
  ) {
    this.keys = new Set(entries.map(keyOf));
  }

  /**
   * Opens a journal, or creates an empty one.
   *
   * @throws JournalCorruptError if a line before the last one is damaged.
   */
  static async open(file: string): Promise<JournalFile> {
    const handle = await open(file, 'a+');
    const {entries, length} = parse(file, await readFile(file, 'utf8'));
    await handle.truncate(length);
    await handle.datasync();
    return new JournalFile(handle, entries);
  }

  get sealed(): boolean {
    return this.entries.at(-1)?.kind === 'sealed';
  }

  /**
   * Resolves once the entries are durable. Entries that the journal already
   * contains are skipped, so that an append can be retried.
   *
   * @throws JournalClosedError if the journal is sealed or closed.
   */
  append(entries: JournalEntry[]): Promise<void> {
    if (this.closed) return Promise.reject(createClosedError('is closed'));
    return new Promise((resolve, reject) => {
      this.pending.push({entries, resolve, reject});
      this.writing ??= this.write();
    });
  }

  /** Waits for pending writes and closes the file. */
  async close(): Promise<void> {
    if (this.closed) return;
    this.closed = true;
    await this.writing;
    await this.handle.close();
  }

  private async write(): Promise<void> {
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      await this.writeBatch(batch);
    }
    this.writing = undefined;
  }

  private selectNew(entries: JournalEntry[]): JournalEntry[] {
    const seen = new Set<string>();
    return entries.filter(entry => {
      const key = keyOf(entry);
      if (this.keys.has(key) || seen.has(key)) return false;
      seen.add(key);
      return true;
    });
  }

  private async writeBatch(batch: PendingAppend[]): Promise<void> {
    try {
      if (this.failure !== undefined) throw this.failure;
      if (this.sealed) throw createClosedError('is sealed');
      const entries = this.selectNew(batch.flatMap(append => append.entries));
      await this.handle.appendFile(entries.map(encodeLine).join(''));
      await this.handle.datasync();
      this.entries.push(...entries);
      for (const entry of entries) this.keys.add(keyOf(entry));
      for (const {resolve} of batch) resolve();
    } catch (error) {
      // After a failed sync the contents of the file are unknown.
      if (!this.sealed) this.failure = error as Error;
      for (const {reject} of batch) reject(error as Error);
    }
  }
}

/** Identity of an entry within its journal. */
function keyOf(entry: JournalEntry): string {
  if (entry.kind === 'opened') return `opened ${entry.record.sequence}`;
  if (entry.kind === 'settled') return `settled ${entry.sequence}`;
  return entry.kind;
}

function createClosedError(state: string): Error {
  return new JournalClosedError(`the journal ${state}`);
}

function parse(
  file: string,
  text: string,
): {entries: JournalEntry[]; length: number} {
  const lines = text.split('\n');
  lines.pop(); // text after the last line feed is incomplete or empty
  const entries: JournalEntry[] = [];
  let length = 0;
  for (const [position, line] of lines.entries()) {
    const entry = decodeLine(line);
    if (entry === undefined) {
      if (position === lines.length - 1) break;
      throw createCorruptError(file, position + 1);
    }
    entries.push(entry);
    length += Buffer.byteLength(line) + 1;
  }
  return {entries, length};
}

function createCorruptError(file: string, line: number): Error {
  return new JournalCorruptError(
    `journal ${file} is damaged at line ${line}; its grant stays reserved`,
    {props: {file, line}},
  );
}
