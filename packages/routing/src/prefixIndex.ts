/**
 * @fileoverview Index of the prompt prefixes that each backend server has
 * probably cached.
 *
 * Servers report cache changes with a delay, and reports can be lost. After a
 * gap in the sequence the reported hashes are dropped until the next full
 * report. Prompts that this instance sends count as well, because the server
 * caches them before it reports them; they are bounded in number and expire.
 */
import {type Announcement, type CacheReport} from '@dogwoodtrestle/schema';

/** Limits per backend server. */
export interface PrefixIndexOptions {
  /** Maximum reported hashes per server; further ones are not added. */
  maximumReportedHashes: number;
  /** Maximum hashes of sent prompts per server; the oldest are evicted. */
  maximumSentHashes: number;
  /** Maximum blocks of a prompt that are looked up per server. */
  maximumLookups: number;
  /** Time for which hashes of sent prompts count. */
  sentRetentionMilliseconds: number;
}

/** Default limits. */
export const defaultPrefixIndexOptions: PrefixIndexOptions = {
  maximumReportedHashes: 20_000,
  maximumSentHashes: 4_000,
  maximumLookups: 16,
  sentRetentionMilliseconds: 60_000,
};

interface PrefixHints {
  incarnation: number;
  /** Sequence of the newest report; undefined until the next full report. */
  sequence?: number;
  reported: Set<string>;
  /** Send times of the hashes of sent prompts, the oldest first. */
  sentAt: Map<string, number>;
}

/** Whether reported hashes are up to date or a full report is needed. */
export type CacheReportState = 'current' | 'awaitingFull';

/** Prefix hashes by backend server. Times are monotonic milliseconds. */
export class PrefixIndex {
  private readonly options: PrefixIndexOptions;
  private readonly hintsByServer = new Map<string, PrefixHints>();

  constructor(options: Partial<PrefixIndexOptions> = {}) {
    this.options = {...defaultPrefixIndexOptions, ...options};
  }

  /** Applies the cache report of an announcement, if it has one. */
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

  /** Records that a prompt with these block hashes is sent to the server. */
  recordSent(name: string, blocks: readonly string[], now: number): void {
    const hints = this.hintsByServer.get(name) ?? this.hintsOf(name, 0);
    if (!hints) return;
    for (const block of blocks) {
      hints.sentAt.delete(block);
      hints.sentAt.set(block, now);
    }
    for (const block of hints.sentAt.keys()) {
      if (hints.sentAt.size <= this.options.maximumSentHashes) break;
      hints.sentAt.delete(block);
    }
  }

  /**
   * Returns the share of the prompt's blocks that the server has cached, from 0
   * to 1. Only a contiguous run from the start counts, as engines can reuse
   * only that. At most `maximumLookups` evenly spaced blocks are looked up, so
   * the error is up to `1 / maximumLookups`.
   */
  hitRatio(name: string, blocks: readonly string[], now: number): number {
    const hints = this.hintsByServer.get(name);
    if (!hints || blocks.length === 0) return 0;
    const earliest = now - this.options.sentRetentionMilliseconds;
    const stride = Math.ceil(blocks.length / this.options.maximumLookups);
    let cachedBlocks = 0;
    while (cachedBlocks < blocks.length) {
      const next = Math.min(cachedBlocks + stride, blocks.length);
      const block = blocks[next - 1]!;
      const isHit =
        hints.reported.has(block) ||
        (hints.sentAt.get(block) ?? -Infinity) >= earliest;
      if (!isHit) break;
      cachedBlocks = next;
    }
    return cachedBlocks / blocks.length;
  }

  /** Removes a server that the directory has removed. */
  remove(name: string): void {
    this.hintsByServer.delete(name);
  }

  /**
   * Returns the hashes of the incarnation, empty for a new one, or undefined if
   * a newer incarnation is known.
   */
  private hintsOf(name: string, incarnation: number): PrefixHints | undefined {
    const known = this.hintsByServer.get(name);
    if (known && known.incarnation > incarnation) return undefined;
    if (known && known.incarnation === incarnation) return known;
    const hints: PrefixHints = {
      incarnation,
      reported: new Set(),
      sentAt: new Map(),
    };
    this.hintsByServer.set(name, hints);
    return hints;
  }

  private applyReport(hints: PrefixHints, report: CacheReport): void {
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

  private applyChanges(hints: PrefixHints, report: CacheReport): void {
    hints.sequence = report.sequence;
    for (const block of report.removed) hints.reported.delete(block);
    for (const block of report.added) {
      if (hints.reported.size >= this.options.maximumReportedHashes) return;
      hints.reported.add(block);
    }
  }
}
