/**
 * @fileoverview Keeps all bills that the ledger has made in a file.
 *
 * The archive follows from the replicated log: bills after the newest snapshot
 * are made again when a replica restarts. So it is synced only when a snapshot
 * is taken, and cut back to the snapshot when one is restored. A snapshot that
 * came from another replica leaves a gap, which is filled from the archives of
 * the others; until then bills can't be read here.
 */
import {
  closeSync,
  createReadStream,
  fsyncSync,
  ftruncateSync,
  openSync,
  writeSync,
} from 'node:fs';
import {createInterface} from 'node:readline';

import {type Bill} from '@dogwoodtrestle/schema';

import {BaseError, type ErrorClass} from '../util/baseError.js';

/** Which bills to read. */
export interface BillFilter {
  customer?: string;
  /** Earliest settlement in milliseconds since the epoch. */
  since?: number;
  /** Only bills of later log entries. */
  after?: number;
  limit?: number;
}

/** Log entries whose bills are lacking. */
export interface BillGap {
  after: number;
  until: number;
}

/** The archive lacks bills that another replica has. */
export const BillsIncompleteError: ErrorClass = BaseError.subclass(
  'BillsIncompleteError',
);

/** A line is a bill, or tells through which entry the lines are complete. */
type ArchiveLine = {bill: Bill} | {through: number};

const defaultLimit = 1000;

/** Append-only file of bills. */
export class BillArchive {
  private readonly descriptor: number;
  private buffered: string[] = [];
  /** Bills made while there is a gap, which come behind it. */
  private held: Bill[] = [];
  private newestIndex = 0;
  private openGap: BillGap | undefined;

  private constructor(private readonly file: string) {
    this.descriptor = openSync(file, 'a');
  }

  /**
   * Opens an archive and drops the bills of entries after a log index.
   *
   * @param index Log index of the snapshot from which the ledger restarts.
   */
  static async open(file: string, index: number): Promise<BillArchive> {
    const archive = new BillArchive(file);
    await archive.cutAfter(index);
    return archive;
  }

  /** The entries whose bills are lacking, if there are any. */
  get gap(): BillGap | undefined {
    return this.openGap;
  }

  /** Adds the bills of one log entry. Entries already held are skipped. */
  append(bills: Bill[]): void {
    if (this.openGap !== undefined) {
      this.held.push(...bills);
      return;
    }
    const fresh = bills.filter(({index}) => index > this.newestIndex);
    for (const bill of fresh) this.write({bill});
    this.newestIndex = fresh.at(-1)?.index ?? this.newestIndex;
  }

  /** Takes in that the ledger was replaced by a snapshot at a log index. */
  skipTo(index: number): void {
    const after = this.openGap?.after ?? this.newestIndex;
    this.openGap = {after, until: index};
    this.held = [];
  }

  /** Adds all bills of the gap, and what was made since. */
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
   * @throws BillsIncompleteError while there is a gap.
   */
  async read(filter: BillFilter): Promise<Bill[]> {
    const {customer, since = 0, after = 0, limit = defaultLimit} = filter;
    if (this.openGap !== undefined) {
      throw new BillsIncompleteError(
        'bills are still being fetched from another replica',
      );
    }
    const found: Bill[] = [];
    for await (const {line} of this.stored()) {
      if (!('bill' in line)) continue;
      const {bill} = line;
      const matches =
        (customer === undefined || bill.customer === customer) &&
        bill.settledAt >= since &&
        bill.index > after;
      if (matches) found.push(bill);
      if (found.length === limit) break;
    }
    return found;
  }

  /** Syncs and closes the file. */
  close(): void {
    this.flush();
    fsyncSync(this.descriptor);
    closeSync(this.descriptor);
  }

  private async cutAfter(index: number): Promise<void> {
    let length = 0;
    let through = 0;
    for await (const {line, end} of this.stored()) {
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

  private async *stored(): AsyncGenerator<{line: ArchiveLine; end: number}> {
    this.flush();
    const input = createReadStream(this.file);
    let end = 0;
    for await (const text of createInterface({input})) {
      end += Buffer.byteLength(text) + 1;
      const line = parseLine(text);
      if (line === undefined) break;
      yield {line, end};
    }
  }
}

/** Returns undefined for a line that was torn by a crash. */
function parseLine(text: string): ArchiveLine | undefined {
  try {
    return JSON.parse(text) as ArchiveLine;
  } catch {
    return undefined;
  }
}
