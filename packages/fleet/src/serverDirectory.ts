/**
 * @fileoverview What is known of backend servers from their announcements.
 *
 * A record belongs to one incarnation of a server: its id and its start. Late
 * and repeated announcements change nothing. Of several incarnations at one
 * address the one that started last holds it.
 */
import {
  type BackendServerRecord,
  type DirectoryUpdate,
} from '@dogwoodtrestle/schema';

interface Entry {
  record: BackendServerRecord;
  heardAt: number;
  revision: number;
}

export interface ServerDirectoryOptions {
  /** Silence after which a server counts as lost. */
  silentAfterMilliseconds: number;
  /** Time for which a server that left or fell silent is remembered. */
  forgetAfterMilliseconds: number;
}

export const defaultServerDirectoryOptions: ServerDirectoryOptions = {
  // Three announcements of the users' servers, 1,200 ms apart.
  silentAfterMilliseconds: 4_000,
  // Longer than announcements are delayed by a partition.
  forgetAfterMilliseconds: 60_000,
};

/** Record of a server that left before it was heard of. */
const unknownServer: Omit<BackendServerRecord, 'id' | 'startedAt'> = {
  sequence: 0,
  service: '',
  address: '',
  state: 'left',
  slots: 0,
};

/** Backend servers by id. */
export class ServerDirectory {
  private readonly options: ServerDirectoryOptions;
  private readonly entries = new Map<string, Entry>();
  private revision = 0;

  /** @param epoch Names this directory; revisions of others mean nothing. */
  constructor(
    readonly epoch: string,
    options: Partial<ServerDirectoryOptions> = {},
    private readonly onChange: (record: BackendServerRecord) => void = () =>
      undefined,
  ) {
    this.options = {...defaultServerDirectoryOptions, ...options};
  }

  get currentRevision(): number {
    return this.revision;
  }

  /** Takes an announcement. Returns whether it was news. */
  announce(record: BackendServerRecord, now: number): boolean {
    const entry = this.entries.get(record.id);
    if (entry !== undefined && !isNewer(record, entry.record)) return false;
    const holder = this.holderOf(record);
    if (holder !== undefined && holder.record.startedAt > record.startedAt) {
      return false;
    }
    if (holder !== undefined) this.end(holder);
    this.put(record, now);
    return true;
  }

  /**
   * A server said that it is gone. One that isn't known is remembered as gone,
   * since routers may have heard of it from another directory.
   *
   * @param startedAt Start of the incarnation, where the server says it.
   */
  leave(id: string, now: number, startedAt?: number): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      this.put({...unknownServer, id, startedAt: startedAt ?? 0}, now);
      return true;
    }
    if (entry.record.state === 'left') return false;
    if (startedAt !== undefined && startedAt < entry.record.startedAt) {
      return false;
    }
    this.put({...entry.record, state: 'left'}, now);
    return true;
  }

  /** Marks servers that fell silent, and forgets those long gone. */
  expire(now: number): void {
    const {silentAfterMilliseconds, forgetAfterMilliseconds} = this.options;
    for (const [id, entry] of this.entries) {
      const {record, heardAt} = entry;
      const age = now - heardAt;
      if (age > forgetAfterMilliseconds) {
        this.entries.delete(id);
      } else if (age > silentAfterMilliseconds && record.state === 'ready') {
        this.change(entry, {...record, state: 'silent'});
      }
    }
  }

  /** Returns what changed after a revision, or everything for another epoch. */
  changesSince(epoch: string, revision: number): DirectoryUpdate | undefined {
    const since = epoch === this.epoch ? revision : -1;
    if (since === this.revision) return undefined;
    const records = [...this.entries.values()]
      .filter(entry => entry.revision > since)
      .map(({record}) => record);
    return {epoch: this.epoch, revision: this.revision, records};
  }

  private holderOf({id, address}: BackendServerRecord): Entry | undefined {
    for (const entry of this.entries.values()) {
      const {record} = entry;
      if (record.address !== address || record.id === id) continue;
      if (record.state !== 'left') return entry;
    }
    return undefined;
  }

  private end(entry: Entry): void {
    this.change(entry, {...entry.record, state: 'left'});
  }

  private put(record: BackendServerRecord, now: number): void {
    const entry = this.entries.get(record.id);
    if (entry === undefined) {
      const added = {record, heardAt: now, revision: ++this.revision};
      this.entries.set(record.id, added);
      this.onChange(record);
      return;
    }
    entry.heardAt = now;
    const isChanged = !isEqual(entry.record, record);
    entry.record = record;
    if (!isChanged) return;
    entry.revision = ++this.revision;
    this.onChange(record);
  }

  private change(entry: Entry, record: BackendServerRecord): void {
    entry.record = record;
    entry.revision = ++this.revision;
    this.onChange(record);
  }
}

/** Whether a record says something later of the same id. */
function isNewer(
  record: BackendServerRecord,
  known: BackendServerRecord,
): boolean {
  if (record.startedAt !== known.startedAt) {
    return record.startedAt > known.startedAt;
  }
  return record.sequence > known.sequence;
}

/** Whether two records differ in the sequence at most. */
function isEqual(a: BackendServerRecord, b: BackendServerRecord): boolean {
  return (
    a.startedAt === b.startedAt &&
    a.service === b.service &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.state === b.state &&
    a.slots === b.slots
  );
}
