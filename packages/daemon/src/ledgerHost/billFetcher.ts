/**
 * @fileoverview Fetches archived bills from other replicas.
 */
import {
  type Bill,
  type BillsReply,
  type BillsRequest,
} from '@dogwoodtrestle/schema';

import {type BillGap} from './billArchive.js';

/** Options of the fetcher. */
export interface BillFetcherOptions {
  /** Peer addresses of the other ledger instances, nearest first. */
  addresses: () => string[];
  /** Fetches one page from an instance; rejects if it is unreachable. */
  fetchPage: (address: string, request: BillsRequest) => Promise<BillsReply>;
}

/** Tries one replica after another. */
export class BillFetcher {
  constructor(private readonly options: BillFetcherOptions) {}

  /** Resolves with all bills of a gap, or undefined if no replica has them. */
  async fetch(gap: BillGap): Promise<Bill[] | undefined> {
    for (const address of this.options.addresses()) {
      const bills = await this.fetchFrom(address, gap).catch(() => undefined);
      if (bills !== undefined) return bills;
    }
    return undefined;
  }

  private async fetchFrom(
    address: string,
    {after, until}: BillGap,
  ): Promise<Bill[] | undefined> {
    const all: Bill[] = [];
    for (let next = after; ;) {
      const request = {after: next, until};
      const {bills} = await this.options.fetchPage(address, request);
      if (bills === undefined) return undefined;
      if (bills.length === 0) return all;
      all.push(...bills);
      next = bills.at(-1)?.index ?? until;
    }
  }
}
