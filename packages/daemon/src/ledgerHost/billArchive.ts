/**
 * @fileoverview Keeps all bills that the ledger has made in a file.
 *
 * The archive follows from the replicated log: bills after the newest snapshot
 * are made again when a replica restarts. So it is synced only when a snapshot
 * is taken, and cut back to the snapshot when one is restored.
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

/** Which bills to read. */
export interface BillFilter {
  customer?: string;
  /** Earliest settlement in milliseconds since the epoch. */
  since?: number;
  /** Only bills of later log entries. */
  after?: number;
  limit?: number;
}

interface StoredBill {
  bill: Bill;
  /** Offset behind the bill's line, in bytes. */
  end: number;
}

const defaultLimit = 1000;

/** Append-only file with one bill a line. */
export class BillArchive {
  private readonly descriptor: number;
  private buffered: string[] = [];
  /** Highest log index whose bills the archive holds. */
  private newestIndex = 0;

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

  /** Adds the bills of one log entry. Entries already held are skipped. */
  append(bills: Bill[]): void {
    const fresh = bills.filter(({index}) => index > this.newestIndex);
    for (const bill of fresh) this.buffered.push(`${JSON.stringify(bill)}\n`);
    this.newestIndex = fresh.at(-1)?.index ?? this.newestIndex;
  }

  /** Makes everything appended so far durable. */
  sync(): void {
    this.flush();
    fsyncSync(this.descriptor);
  }

  /** Reads bills, oldest first. */
  async read(filter: BillFilter): Promise<Bill[]> {
    const {customer, since = 0, after = 0, limit = defaultLimit} = filter;
    const found: Bill[] = [];
    for await (const {bill} of this.stored()) {
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
    this.sync();
    closeSync(this.descriptor);
  }

  private async cutAfter(index: number): Promise<void> {
    let length = 0;
    for await (const {bill, end} of this.stored()) {
      if (bill.index > index) break;
      length = end;
      this.newestIndex = bill.index;
    }
    ftruncateSync(this.descriptor, length);
  }

  private flush(): void {
    if (this.buffered.length === 0) return;
    writeSync(this.descriptor, this.buffered.join(''));
    this.buffered = [];
  }

  private async *stored(): AsyncGenerator<StoredBill> {
    this.flush();
    const input = createReadStream(this.file);
    let end = 0;
    for await (const line of createInterface({input})) {
      end += Buffer.byteLength(line) + 1;
      const bill = parseBill(line);
      if (bill === undefined) break;
      yield {bill, end};
    }
  }
}

/** Returns undefined for a line that was torn by a crash. */
function parseBill(line: string): Bill | undefined {
  try {
    return JSON.parse(line) as Bill;
  } catch {
    return undefined;
  }
}
