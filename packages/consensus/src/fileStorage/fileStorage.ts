/**
 * @fileoverview Durable state of a replica in a folder.
 *
 * The folder contains `identity.json`, `vote.json`, `snapshot.json`, live log
 * segments, and sealed segments in `history/`.
 */
import {randomUUID} from 'node:crypto';
import {mkdir, rm} from 'node:fs/promises';
import path from 'node:path';

import {type Entry} from '@dogwoodtrestle/schema';

import {CorruptFile} from '../errors.js';
import {
  type HardState,
  type HistoryGap,
  type Storage,
  type StoredSnapshot,
  type StoredState,
} from '../storage.js';
import {readIfExists, replaceFile, syncFolder} from '../util/durableFile.js';
import {SegmentedLog} from './segmentedLog.js';
import {readSnapshotFile, writeSnapshotFile} from './snapshotFile.js';

/** Options of a file storage. */
export interface FileStorageOptions {
  /** Size in bytes from which on a new log segment is started. */
  segmentBytes: number;
  /**
   * Whether entries before the snapshot stay readable. If not, the size of the
   * folder is bounded.
   */
  keepsHistory: boolean;
}

/** Defaults for small disks. */
export const defaultFileStorageOptions: FileStorageOptions = {
  segmentBytes: 4 * 1024 * 1024,
  keepsHistory: true,
};

/** Stores the state of one replica in a folder. */
export class FileStorage implements Storage {
  private constructor(
    readonly identity: string,
    private readonly folder: string,
    private readonly log: SegmentedLog,
  ) {}

  /**
   * Opens a folder; creates it with a new identity if it is missing or empty.
   * Truncates a torn tail of the log; rejects with `CorruptFile` if any other
   * part is corrupt.
   */
  static async open(
    folder: string,
    options: Partial<FileStorageOptions> = {},
  ): Promise<FileStorage> {
    await mkdir(folder, {recursive: true});
    await syncFolder(path.dirname(path.resolve(folder)));
    const {segmentBytes, keepsHistory} = {
      ...defaultFileStorageOptions,
      ...options,
    };
    const log = await SegmentedLog.open(folder, segmentBytes, keepsHistory);
    try {
      const identity = await readOrCreateIdentity(folder, log.isEmpty);
      return new FileStorage(identity, folder, log);
    } catch (error) {
      await log.close();
      throw error;
    }
  }

  async load(): Promise<StoredState> {
    const hardState = await this.readHardState();
    const snapshot = await this.readSnapshot();
    const entries = await this.log.load(snapshot?.header);
    return {hardState, snapshot, entries};
  }

  async saveHardState(hardState: HardState): Promise<void> {
    await replaceFile(this.voteFile, JSON.stringify(hardState));
  }

  append(entries: readonly Entry[]): Promise<void> {
    return this.log.append(entries);
  }

  async saveSnapshot(
    snapshot: StoredSnapshot,
    keepAfter: number,
  ): Promise<void> {
    await writeSnapshotFile(this.snapshotFile, snapshot);
    await this.log.sealUpTo(keepAfter);
  }

  async installSnapshot(
    snapshot: StoredSnapshot,
    committedIndex: number,
  ): Promise<void> {
    await writeSnapshotFile(this.snapshotFile, snapshot);
    await this.log.sealAll(committedIndex);
  }

  async historyGap(lastIndex: number): Promise<HistoryGap | undefined> {
    return this.log.firstGap(lastIndex);
  }

  addHistory(entries: readonly Entry[]): Promise<void> {
    return this.log.addHistory(entries);
  }

  readSnapshot(): Promise<StoredSnapshot | undefined> {
    return readSnapshotFile(this.snapshotFile);
  }

  history(
    afterIndex: number,
    limit: number,
    lastIndex: number,
  ): Promise<Entry[]> {
    return this.log.read(afterIndex, limit, lastIndex);
  }

  close(): Promise<void> {
    return this.log.close();
  }

  private get voteFile(): string {
    return path.join(this.folder, 'vote.json');
  }

  private get snapshotFile(): string {
    return path.join(this.folder, 'snapshot.json');
  }

  private async readHardState(): Promise<HardState> {
    const text = await readIfExists(this.voteFile);
    if (text === undefined) throw missingFile(this.voteFile);
    return parseFile<HardState>(this.voteFile, text);
  }
}

/**
 * Reads the identity, or generates one for an empty folder. The vote file is
 * written first, so that a folder with an identity always has one.
 */
async function readOrCreateIdentity(
  folder: string,
  isLogEmpty: boolean,
): Promise<string> {
  const file = path.join(folder, 'identity.json');
  const text = await readIfExists(file);
  if (text !== undefined) return parseFile<{id: string}>(file, text).id;
  if (!isLogEmpty) throw missingFile(file);
  await rm(path.join(folder, 'snapshot.json'), {force: true});
  await replaceFile(
    path.join(folder, 'vote.json'),
    JSON.stringify({term: 0} satisfies HardState),
  );
  const id = randomUUID();
  await replaceFile(file, JSON.stringify({id}));
  return id;
}

function missingFile(file: string): Error {
  return new CorruptFile(`${file} is missing, but other files exist`, {
    props: {file, offset: 0},
  });
}

function parseFile<T>(file: string, text: string): T {
  try {
    return JSON.parse(text) as T;
  } catch (cause) {
    throw new CorruptFile(`${file} is damaged`, {
      cause,
      props: {file, offset: 0},
    });
  }
}
