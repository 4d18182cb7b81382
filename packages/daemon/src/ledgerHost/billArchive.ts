/**
 * @fileoverview Append-only file of all bills that the ledger has produced.
 *
 * The archive is derived from the replicated log: a replica that restarts
 * produces the bills after its newest snapshot again. Hence the file is synced
 * only when a snapshot is taken, and truncated to the snapshot on restart. A
 * snapshot installed from another replica leaves a gap, which is filled from
 * the archives of other replicas; until then bills can't be read here.
 */
import {
  closeSync,
  createReadStream,
  fsyncSync,
  ftruncateSync,
  openSync,
  writeSync,
} from 'node:fs';

import {type Bill} from '@dogwoodtrestle/schema';

import {BaseError, type ErrorClass} from '../util/baseError.js';

/** Selects the bills to read. */
export interface BillFilter {
  customer?: string;
  /** Earliest settlement time, in milliseconds since the epoch. */
  since?: number;
  /** Selects only bills of log entries after this index. */
  after?: number;
  limit?: number;
}

/** Range of log entries whose bills are missing. */
export interface BillGap {
  after: number;
  until: number;
}

/** The archive is missing bills that other replicas have. */
export const BillsIncompleteError: ErrorClass = BaseError.subclass(
  'BillsIncompleteError',
);

/** A bill, or the log index through which the lines before are complete. */
type ArchiveLine = {bill: Bill} | {through: number};

const defaultLimit = 1000;

/** Ends a line; one without it is incomplete, whatever its text is. */
const lineFeed = 0x0a;

/** Stores bills in the order of their log entries. */
export class BillArchive {
  private readonly descriptor: number;
  private buffered: string[] = [];
  /** Bills produced during a gap; they follow its bills. */
  private held: Bill[] = [];
  private newestIndex = 0;
  private openGap: BillGap | undefined;

  private constructor(private readonly file: string) {
    this.descriptor = openSync(file, 'a');
  }

  /**
   * Opens an archive and removes the bills of entries after a log index.
   *
   * @param index Log index of the snapshot from which the ledger restarts.
   */
  static async open(file: string, index: number): Promise<BillArchive> {
    const archive = new BillArchive(file);
    await archive.truncateAfter(index);
    return archive;
  }

  /** The entries whose bills are missing, if any. */
  get gap(): BillGap | undefined {
    return this.openGap;
  }

  /** Appends the bills of one log entry; skips entries already stored. */
  append(bills: Bill[]): void {
    if (this.openGap !== undefined) {
      this.held.push(...bills);
      return;
    }
    const newBills = bills.filter(({index}) => index > this.newestIndex);
    for (const bill of newBills) this.write({bill});
    this.newestIndex = newBills.at(-1)?.index ?? this.newestIndex;
  }

  /** Records that the ledger was replaced by a snapshot at a log index. */
  skipTo(index: number): void {
    const after = this.openGap?.after ?? this.newestIndex;
    this.openGap = {after, until: index};
    this.held = [];
  }

  /** Appends all bills of the gap, then those produced since. */
  fillGap(bills: Bill[]): void {
    const until = this.openGap?.until ?? 0;
    const {held} = this;
    this.openGap = undefined;
    this.held = [];
    this.append(bills);
    this.newestIndex = Math.max(this.newestIndex, until);
    this.append(held);
  }

  /**
   * Makes everything appended so far durable.
   *
   * @param index Log index through which all bills have been appended.
   */
  sync(index: number): void {
    if (this.openGap === undefined) this.write({through: index});
    this.flush();
    fsyncSync(this.descriptor);
  }

  /**
   * Reads bills, oldest first.
   *
   * @throws BillsIncompleteError while there is a gap, and for a damaged line.
   */
  async read(filter: BillFilter): Promise<Bill[]> {
    const {customer, since = 0, after = 0, limit = defaultLimit} = filter;
    const found: Bill[] = [];
    for await (const bill of this.readBills()) {
      const matches =
        (customer === undefined || bill.customer === customer) &&
        bill.settledAt >= since &&
        bill.index > after;
      if (matches) found.push(bill);
      if (found.length === limit) break;
    }
    return found;
  }

  /**
   * Reads all bills of some log entries, oldest first: of as many entries as have
   * `limit` bills or more, so that only an empty list is the end.
   *
   * @throws BillsIncompleteError while there is a gap, and for a damaged line.
   */
  async readEntries({after, until}: BillGap, limit: number): Promise<Bill[]> {
    const found: Bill[] = [];
    for await (const bill of this.readBills()) {
      if (bill.index <= after) continue;
      const isNextEntry = bill.index !== found.at(-1)?.index;
      if (bill.index > until || (isNextEntry && found.length >= limit)) break;
      found.push(bill);
    }
    return found;
  }

  /** Flushes, syncs and closes the file. */
  close(): void {
    this.flush();
    fsyncSync(this.descriptor);
    closeSync(this.descriptor);
  }

  private async truncateAfter(index: number): Promise<void> {
    let length = 0;
    let through = 0;
    for await (const {line, end} of this.readLines()) {
      if (line === undefined) break;
      if ('through' in line) through = line.through;
      else if (line.bill.index > index) break;
      else this.newestIndex = line.bill.index;
      length = end;
    }
    ftruncateSync(this.descriptor, length);
    if (through < index) this.openGap = {after: through, until: index};
    this.newestIndex = Math.max(this.newestIndex, through);
  }

  private write(line: ArchiveLine): void {
    this.buffered.push(`${JSON.stringify(line)}\n`);
  }

  private flush(): void {
    if (this.buffered.length === 0) return;
    writeSync(this.descriptor, this.buffered.join(''));
    this.buffered = [];
  }

  private async *readBills(): AsyncGenerator<Bill> {
    if (this.openGap !== undefined) {
      throw new BillsIncompleteError(
        'bills are still being fetched from another replica',
      );
    }
    for await (const {line, end} of this.readLines()) {
      if (line === undefined) {
        throw new BillsIncompleteError(
          `bill archive ${this.file} is damaged at byte ${end}`,
        );
      }
      if ('bill' in line) yield line.bill;
    }
  }

  /** Yields whole lines and where they end; no line where one is damaged. */
  private async *readLines(): AsyncGenerator<{
    line: ArchiveLine | undefined;
    end: number;
  }> {
    this.flush();
    let rest = Buffer.alloc(0);
    let end = 0;
    for await (const piece of createReadStream(this.file)) {
      const bytes = Buffer.concat([rest, piece as Buffer]);
      let start = 0;
      for (;;) {
        const stop = bytes.indexOf(lineFeed, start);
        if (stop < 0) break;
        const line = parseLine(bytes.toString('utf8', start, stop));
        if (line !== undefined) end += stop + 1 - start;
        start = stop + 1;
        yield {line, end};
      }
      rest = bytes.subarray(start);
    }
  }
}

/** Parses a line; returns undefined if it is damaged. */
function parseLine(text: string): ArchiveLine | undefined {
  try {
    return JSON.parse(text) as ArchiveLine;
  } catch {
    return undefined;
  }
}
