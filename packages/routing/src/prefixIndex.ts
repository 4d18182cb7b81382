/**
 * @fileoverview Hints of which prompt prefixes each backend server has cached.
 *
 * Servers report changes of their cache late and with gaps. After a gap their
 * hints are thrown away and only a full report counts again. Own requests are
 * hints too: a prompt sent to a server will be in its cache before the report
 * says so. These are bounded in number and age out.
 */
import {type Announcement, type CacheReport} from '@dogwoodtrestle/schema';

export interface PrefixIndexOptions {
  /** Reported hashes kept per server; a longer report is cut. */
  maximumReportedHashes: number;
  /** Hashes of own prompts kept per server, the newest ones. */
  maximumSentHashes: number;
  /** Blocks of a prompt that are looked up for one server. */
  maximumLookups: number;
  /** Hints from own prompts count this long. */
  sentRetentionMilliseconds: number;
}

export const defaultPrefixIndexOptions: PrefixIndexOptions = {
  maximumReportedHashes: 20_000,
  maximumSentHashes: 4_000,
  maximumLookups: 16,
  sentRetentionMilliseconds: 60_000,
};

interface ServerHints {
  incarnation: number;
  /** Sequence of the newest report; undefined while a full one is needed. */
  sequence?: number;
  reported: Set<string>;
  /** When own prompts with the hash were sent, oldest first. */
  sent: Map<string, number>;
}

export type CacheReportState = 'current' | 'awaitingFull';

export class PrefixIndex {
  private readonly options: PrefixIndexOptions;
  private readonly byServer = new Map<string, ServerHints>();

  constructor(options: Partial<PrefixIndexOptions> = {}) {
    this.options = {...defaultPrefixIndexOptions, ...options};
  }

  /** Takes in the cache report of an announcement. */
  observe({
    name,
    incarnation,
    cache,
  }: Pick<Announcement, 'name' | 'incarnation' | 'cache'>): CacheReportState {
    const hints = this.hintsOf(name, incarnation);
    if (!hints) return 'awaitingFull';
    if (cache) this.applyReport(hints, cache);
    return hints.sequence === undefined ? 'awaitingFull' : 'current';
  }

  /** Notes that a prompt with these blocks is being sent to the server. */
  recordSent(name: string, blocks: readonly string[], now: number): void {
    const hints = this.byServer.get(name) ?? this.hintsOf(name, 0);
    if (!hints) return;
    for (const block of blocks) {
      hints.sent.delete(block);
      hints.sent.set(block, now);
    }
    for (const block of hints.sent.keys()) {
      if (hints.sent.size <= this.options.maximumSentHashes) break;
      hints.sent.delete(block);
    }
  }

  /**
   * Share of the prompt's blocks that the server has cached, from 0 to 1. Only
   * an unbroken run from the start counts, as engines can use no other. In a
   * long prompt only every so many blocks are looked up, so the share may be
   * off by `1 / maximumProbes`.
   */
  hitRatio(name: string, blocks: readonly string[], now: number): number {
    const hints = this.byServer.get(name);
    if (!hints || blocks.length === 0) return 0;
    const oldest = now - this.options.sentRetentionMilliseconds;
    const stride = Math.ceil(blocks.length / this.options.maximumLookups);
    let count = 0;
    while (count < blocks.length) {
      const next = Math.min(count + stride, blocks.length);
      const block = blocks[next - 1]!;
      const isHit =
        hints.reported.has(block) ||
        (hints.sent.get(block) ?? -Infinity) >= oldest;
      if (!isHit) break;
      count = next;
    }
    return count / blocks.length;
  }

  remove(name: string): void {
    this.byServer.delete(name);
  }

  /** Hints of that incarnation; none for an older one than is known. */
  private hintsOf(name: string, incarnation: number): ServerHints | undefined {
    const known = this.byServer.get(name);
    if (known && known.incarnation > incarnation) return undefined;
    if (known && known.incarnation === incarnation) return known;
    const hints: ServerHints = {
      incarnation,
      reported: new Set(),
      sent: new Map(),
    };
    this.byServer.set(name, hints);
    return hints;
  }

  private applyReport(hints: ServerHints, report: CacheReport): void {
    if (report.full) {
      if (hints.sequence !== undefined && report.sequence < hints.sequence) {
        return;
      }
      hints.reported = new Set();
    } else if (hints.sequence === undefined) {
      return;
    } else if (report.sequence <= hints.sequence) {
      return;
    } else if (report.sequence !== hints.sequence + 1) {
      hints.sequence = undefined;
      hints.reported = new Set();
      return;
    }
    this.applyChanges(hints, report);
  }

  private applyChanges(hints: ServerHints, report: CacheReport): void {
    hints.sequence = report.sequence;
    for (const block of report.removed) hints.reported.delete(block);
    for (const block of report.added) {
      if (hints.reported.size >= this.options.maximumReportedHashes) return;
      hints.reported.add(block);
    }
  }
}
