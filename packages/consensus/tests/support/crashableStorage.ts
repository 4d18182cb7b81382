/**
 * @fileoverview In-memory storage that simulates crashes during writes.
 */
import {
  type Entry,
  type HardState,
  type HistoryGap,
  type Storage,
  type StoredSnapshot,
  type StoredState,
} from '../../src/index.js';

/**
 * In-memory storage. Each write takes time; after a crash during a write, the
 * write has taken effect or not, at random.
 */
export class CrashableStorage implements Storage {
  private hardState: HardState = {term: 0};
  private snapshot?: StoredSnapshot;
  private entries = new Map<number, Entry>();
  private loadAfter = 0;
  private pending?: () => void;

  constructor(
    readonly identity: string,
    private readonly random: () => number,
    public schedule: (delay: number, callback: () => void) => void,
    /** Time of every write in milliseconds; random if undefined. */
    public writeMilliseconds?: number,
  ) {}

  crash(): void {
    if (this.random() < 0.5) this.pending?.();
    this.pending = undefined;
  }

  async load(): Promise<StoredState> {
    const entries = [];
    for (let index = this.loadAfter + 1; this.entries.has(index); index++) {
      entries.push(this.entries.get(index)!);
    }
    return {hardState: this.hardState, snapshot: this.snapshot, entries};
  }

  saveHardState(hardState: HardState): Promise<void> {
    return this.write(() => (this.hardState = hardState));
  }

  append(entries: readonly Entry[]): Promise<void> {
    return this.write(() => {
      this.dropAfter(entries[0]!.index - 1);
      for (const entry of entries) this.entries.set(entry.index, entry);
    });
  }

  saveSnapshot(snapshot: StoredSnapshot, keepAfter: number): Promise<void> {
    return this.write(() => {
      this.snapshot = snapshot;
      this.loadAfter = Math.max(this.loadAfter, keepAfter);
    });
  }

  installSnapshot(snapshot: StoredSnapshot, committed: number): Promise<void> {
    return this.write(() => {
      this.snapshot = snapshot;
      this.loadAfter = snapshot.header.index;
      this.dropAfter(committed);
    });
  }

  async historyGap(lastIndex: number): Promise<HistoryGap | undefined> {
    const isMissing = (index: number) =>
      index <= lastIndex && !this.entries.has(index);
    let first = 1;
    while (this.entries.has(first)) first++;
    if (!isMissing(first)) return undefined;
    let last = first;
    while (isMissing(last + 1)) last++;
    return {afterIndex: first - 1, lastIndex: last};
  }

  addHistory(entries: readonly Entry[]): Promise<void> {
    return this.write(() => {
      for (const entry of entries) this.entries.set(entry.index, entry);
    });
  }

  async readSnapshot(): Promise<StoredSnapshot | undefined> {
    return this.snapshot;
  }

  async history(after: number, limit: number, last: number): Promise<Entry[]> {
    return [...this.entries.values()]
      .filter(({index}) => index > after && index <= after + limit)
      .filter(({index}) => index <= last)
      .sort((a, b) => a.index - b.index);
  }

  async close(): Promise<void> {}

  private dropAfter(index: number): void {
    for (const key of this.entries.keys()) {
      if (key > index) this.entries.delete(key);
    }
  }

  private write(applyWrite: () => void): Promise<void> {
    return new Promise(resolve => {
      this.pending = applyWrite;
      const delay =
        this.writeMilliseconds ??
        this.random() * (this.random() < 0.2 ? 200 : 8);
      this.schedule(delay, () => {
        if (this.pending !== applyWrite) return;
        this.pending = undefined;
        applyWrite();
        resolve();
      });
    });
  }
}
