/**
 * @fileoverview The log on disk: live segments and a history of sealed ones.
 */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  truncate,
} from 'node:fs/promises';
import path from 'node:path';

import {type Entry, type SnapshotHeader} from '@dogwoodtrestle/schema';

import {type HistoryGap} from '../storage.js';
import {syncFolder} from '../util/durableFile.js';
import {encodeFrame, scanFrames} from './frame.js';
import {
  corruptSegment,
  liveName,
  appendReplacing,
  parseLiveName,
  parseSealedName,
  readSealed,
  readSegment,
  sealedName,
  type Segment,
} from './segment.js';

/** Log of one replica in the segment files of a folder. */
export class SegmentedLog {
  private live: Segment[] = [];
  private sealed: Segment[] = [];
  private loaded: Entry[] = [];
  private handle?: FileHandle;
  private writeOffset = 0;

  private constructor(
    private readonly folder: string,
    private readonly segmentBytes: number,
    private readonly keepsHistory: boolean,
  ) {}

  /** Opens the log and truncates a torn tail; rejects with `CorruptFile`. */
  static async open(
    folder: string,
    segmentBytes: number,
    keepsHistory: boolean,
  ): Promise<SegmentedLog> {
    const log = new SegmentedLog(folder, segmentBytes, keepsHistory);
    await mkdir(log.historyFolder, {recursive: true});
    await syncFolder(folder);
    await log.openHistory();
    await log.openLive();
    return log;
  }

  get isEmpty(): boolean {
    return this.live.length === 0 && this.sealed.length === 0;
  }

  /** Returns the live entries, or none if they don't continue the snapshot. */
  async load(snapshot?: SnapshotHeader): Promise<Entry[]> {
    const entries = this.loaded;
    this.loaded = [];
    if (continuesSnapshot(entries, snapshot)) return entries;
    // The process stopped after it had saved an installed snapshot but before
    // it had discarded the old log.
    await this.sealAll(0);
    return [];
  }

  /** Appends one frame; durable when it resolves. */
  async append(entries: readonly Entry[]): Promise<void> {
    const frame = encodeFrame(entries);
    if (this.writeOffset >= this.segmentBytes) await this.closeHandle();
    this.handle ??= await this.startSegment(entries[0]?.index ?? 0);
    await writeFully(this.handle, frame, this.writeOffset);
    await this.handle.datasync();
    this.writeOffset += frame.length;
    extendRange(this.live.at(-1), entries);
  }

  /** Seals live segments whose entries are all at or before an index. */
  async sealUpTo(index: number): Promise<void> {
    const newest = this.live.at(-1);
    if (newest !== undefined && newest.lastIndex <= index) {
      await this.closeHandle();
    }
    while (this.live[0] !== undefined && this.live[0].lastIndex <= index) {
      await this.seal(this.live[0]);
      this.live.shift();
    }
  }

  /** Seals all live segments; only entries up to an index stay readable. */
  async sealAll(committedIndex: number): Promise<void> {
    await this.closeHandle();
    for (const segment of this.live) {
      const lastIndex = Math.min(segment.lastIndex, committedIndex);
      if (lastIndex < segment.firstIndex) await this.remove(segment);
      else await this.seal({...segment, lastIndex});
    }
    this.live = [];
  }

  /**
   * Returns the first range of indexes up to `lastIndex` that no file contains.
   */
  firstGap(lastIndex: number): HistoryGap | undefined {
    if (!this.keepsHistory) return undefined;
    const segments = [...this.sealed, ...this.live].sort(
      (a, b) => a.firstIndex - b.firstIndex,
    );
    let afterIndex = 0;
    for (const segment of segments) {
      if (segment.firstIndex > afterIndex + 1) {
        return {afterIndex, lastIndex: segment.firstIndex - 1};
      }
      afterIndex = Math.max(afterIndex, segment.lastIndex);
    }
    return afterIndex < lastIndex ? {afterIndex, lastIndex} : undefined;
  }

  /** Adds a sealed segment with older entries. */
  async addHistory(entries: readonly Entry[]): Promise<void> {
    const segment: Segment = {
      file: '',
      sequence: 0,
      firstIndex: entries[0]?.index ?? 0,
      lastIndex: entries.at(-1)?.index ?? 0,
    };
    segment.file = path.join(this.historyFolder, sealedName(segment));
    const temporary = `${segment.file}.tmp`;
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(encodeFrame(entries));
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporary, segment.file);
    await syncFolder(this.historyFolder);
    this.sealed.push(segment);
  }

  /** Returns at most `limit` entries after `afterIndex` up to `lastIndex`. */
  async read(
    afterIndex: number,
    limit: number,
    lastIndex: number,
  ): Promise<Entry[]> {
    const end = Math.min(lastIndex, afterIndex + limit);
    // Of several entries with one index, the last one written is committed.
    const entriesByIndex = new Map<number, Entry>();
    for (const segment of [...this.sealed, ...this.live]) {
      if (segment.lastIndex <= afterIndex || segment.firstIndex > end) continue;
      const last = Math.min(end, segment.lastIndex);
      const isSealed = this.sealed.includes(segment);
      const entries = await (isSealed
        ? readSealed(segment)
        : readSegment(segment.file));
      for (const entry of entries) {
        if (entry.index <= afterIndex || entry.index > last) continue;
        entriesByIndex.set(entry.index, entry);
      }
    }
    return [...entriesByIndex.values()].sort((a, b) => a.index - b.index);
  }

  async close(): Promise<void> {
    await this.closeHandle();
  }

  private get historyFolder(): string {
    return path.join(this.folder, 'history');
  }

  private async openHistory(): Promise<void> {
    for (const name of await readdir(this.historyFolder)) {
      const parsed = parseSealedName(name);
      const file = path.join(this.historyFolder, name);
      if (parsed === undefined) await rm(file);
      else this.sealed.push({...parsed, file});
    }
    this.sealed.sort((a, b) => a.sequence - b.sequence);
  }

  private async openLive(): Promise<void> {
    const sequences = (await readdir(this.folder))
      .map(parseLiveName)
      .filter(sequence => sequence !== undefined)
      .sort((a, b) => a - b);
    for (const sequence of sequences) {
      const isNewest = sequence === sequences.at(-1);
      await this.openSegment(sequence, isNewest);
    }
  }

  private async openSegment(
    sequence: number,
    isNewest: boolean,
  ): Promise<void> {
    const file = path.join(this.folder, liveName(sequence));
    const data = await readFile(file);
    const {entries, validBytes, tail} = scanFrames(data);
    if (tail === 'damagedInside' || (tail === 'torn' && !isNewest)) {
      throw corruptSegment(file, validBytes);
    }
    if (tail === 'torn') await truncate(file, validBytes);
    const maxFirstIndex = (this.loaded.at(-1)?.index ?? Infinity) + 1;
    if ((entries[0]?.index ?? 0) > maxFirstIndex) throw corruptSegment(file, 0);
    const segment: Segment = {file, sequence, firstIndex: 0, lastIndex: 0};
    extendRange(segment, entries);
    this.live.push(segment);
    appendReplacing(this.loaded, entries);
    if (isNewest) await this.reopen(segment, validBytes);
  }

  /** Reopens a segment for appending and makes the truncation durable. */
  private async reopen(segment: Segment, bytes: number): Promise<void> {
    this.handle = await open(segment.file, 'r+');
    this.writeOffset = bytes;
    await this.handle.sync();
  }

  private async startSegment(firstIndex: number): Promise<FileHandle> {
    const sequences = [...this.live, ...this.sealed].map(
      segment => segment.sequence,
    );
    const sequence = Math.max(0, ...sequences) + 1;
    const file = path.join(this.folder, liveName(sequence));
    const handle = await open(file, 'wx+');
    // With preallocated space, syncing data need not update the file size.
    await writeFully(handle, Buffer.alloc(this.segmentBytes), 0);
    await handle.sync();
    await syncFolder(this.folder);
    this.live.push({file, sequence, firstIndex, lastIndex: firstIndex});
    this.writeOffset = 0;
    return handle;
  }

  // Each step is durable before the next one, oldest segment first, so that a
  // crash never leaves a gap between live segments.
  private async seal(segment: Segment): Promise<void> {
    if (!this.keepsHistory) {
      await this.remove(segment);
      return;
    }
    const file = path.join(this.historyFolder, sealedName(segment));
    await rename(segment.file, file);
    await syncFolder(this.historyFolder);
    await syncFolder(this.folder);
    this.sealed.push({...segment, file});
  }

  private async remove(segment: Segment): Promise<void> {
    await rm(segment.file);
    await syncFolder(this.folder);
  }

  private async closeHandle(): Promise<void> {
    const {handle, writeOffset} = this;
    this.handle = undefined;
    this.writeOffset = 0;
    if (handle === undefined) return;
    await handle.truncate(writeOffset);
    await handle.close();
  }
}

async function writeFully(
  handle: FileHandle,
  data: Buffer,
  position: number,
): Promise<void> {
  let offset = 0;
  while (offset < data.length) {
    const {bytesWritten} = await handle.write(
      data,
      offset,
      data.length - offset,
      position + offset,
    );
    offset += bytesWritten;
  }
}

/** Extends the index range of a segment by added entries. */
function extendRange(
  segment: Segment | undefined,
  entries: readonly Entry[],
): void {
  if (segment === undefined) return;
  for (const {index} of entries) {
    if (segment.firstIndex === 0) segment.firstIndex = index;
    segment.firstIndex = Math.min(segment.firstIndex, index);
    segment.lastIndex = Math.max(segment.lastIndex, index);
  }
}

/** Whether entries continue a snapshot without a gap or a conflict. */
function continuesSnapshot(
  entries: readonly Entry[],
  snapshot?: SnapshotHeader,
): boolean {
  const first = entries[0]?.index;
  if (snapshot === undefined || first === undefined) return true;
  if (first === snapshot.index + 1) return true;
  return entries[snapshot.index - first]?.term === snapshot.term;
}
