/**
 * @fileoverview Directory of backend servers, from their announcements.
 *
 * A record belongs to one incarnation of a server, identified by its id and its
 * start. Delayed and duplicate announcements change nothing, and a departure is
 * final for its incarnation. Of several incarnations with one address, the one
 * that started last owns it.
 *
 * Routers are offered a server once the replicated log has its incarnation and
 * software version, so that each later leader knows which versions may have begun a
 * stream.
 */
import {
  type BackendServerRecord,
  type DirectoryUpdate,
} from '@dogwoodtrestle/schema';

import {
  isAnnouncedCold,
  isDeparture,
  isEqualRecord,
  isNewerRecord,
  isSameSoftware,
} from './serverRecords.js';

interface Entry {
  record: BackendServerRecord;
  announcedAt: number;
  revision: number;
  /** End of the cold period as routers were told of it. */
  coldUntil: number;
  /** Whether routers are not yet told of it. */
  isWithheld: boolean;
}

/** Options of a directory. */
export interface ServerDirectoryOptions {
  /** Time without an announcement after which a server counts as silent. */
  silentAfterMilliseconds: number;
  /** Time without an announcement after which a record is removed. */
  forgetAfterMilliseconds: number;
  /** Whether the replicated log has a server; routers hear of no other. */
  isRecorded: (record: BackendServerRecord) => boolean;
}

/** Default options. */
export const defaultServerDirectoryOptions: ServerDirectoryOptions = {
  // Three intervals of 1,200 ms between announcements of the users' servers.
  silentAfterMilliseconds: 4_000,
  // Longer than a partition delays announcements.
  forgetAfterMilliseconds: 60_000,
  isRecorded: () => true,
};

/**
 * Time by which the end of a cold period may move without routers being told, as
 * announcements take different times to arrive.
 */
const coldToleranceMilliseconds = 250;

/** Record of a server that left before it was announced. */
const unknownServer: Omit<BackendServerRecord, 'id' | 'startedAt'> = {
  sequence: 0,
  service: '',
  address: '',
  state: 'left',
  slots: 0,
};

/** Backend servers by id. Times are in milliseconds. */
export class ServerDirectory {
  private readonly options: ServerDirectoryOptions;
  private readonly entries = new Map<string, Entry>();
  private revision = 0;
  private newestDeparture = 0;
  /** Newest revision of a record that was removed. */
  private forgottenRevision = 0;

  /**
   * @param epoch Identifies this directory; revisions are only valid with it.
   * @param onChange Called with each record that was added or changed.
   */
  constructor(
    readonly epoch: string,
    options: Partial<ServerDirectoryOptions> = {},
    private readonly onChange: (record: BackendServerRecord) => void = () =>
      undefined,
  ) {
    this.options = {...defaultServerDirectoryOptions, ...options};
  }

  /** Number of changes so far. */
  get currentRevision(): number {
    return this.revision;
  }

  /** Revision of the newest draining or departed server; 0 for none. */
  get departureRevision(): number {
    return this.newestDeparture;
  }

  /** Records of all known servers, also of those that left. */
  get records(): BackendServerRecord[] {
    return [...this.entries.values()].map(({record}) => record);
  }

  /** Returns the record of a server. */
  find(id: string): BackendServerRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** Whether routers are told of a server. */
  isOffered(id: string): boolean {
    return this.entries.get(id)?.isWithheld === false;
  }

  /** Offers a server to routers if it was withheld, and the log has it now. */
  offer(id: string, now: number): void {
    const entry = this.entries.get(id);
    if (entry?.isWithheld !== true) return;
    const {record, coldUntil} = entry;
    if (!this.options.isRecorded(record)) return;
    entry.isWithheld = false;
    this.change(entry, withColdTimeAt(record, coldUntil, now));
  }

  /** Returns when an incarnation of a server was last announced, if it was. */
  announcedAt(id: string, startedAt: number): number | undefined {
    const entry = this.entries.get(id);
    if (entry?.record.startedAt !== startedAt) return undefined;
    return entry.record.state === 'left' ? undefined : entry.announcedAt;
  }

  /** Records an announcement. Returns false if it is outdated. */
  announce(record: BackendServerRecord, now: number): boolean {
    const entry = this.entries.get(record.id);
    if (entry !== undefined && !isNewerRecord(record, entry.record)) {
      return false;
    }
    const owner = this.addressOwnerOf(record);
    if (owner !== undefined && owner.record.startedAt > record.startedAt) {
      return false;
    }
    if (owner !== undefined) this.end(owner);
    this.put(record, now);
    return true;
  }

  /**
   * Records that a server left, and returns whether that is new. An unknown
   * server is recorded as well, since routers may know it from another directory.
   *
   * @param startedAt Start of the incarnation, if the server sent it.
   */
  leave(id: string, now: number, startedAt?: number): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      this.put({...unknownServer, id, startedAt: startedAt ?? 0}, now);
      return true;
    }
    const {record} = entry;
    const departed: BackendServerRecord = {
      ...record,
      startedAt: startedAt ?? record.startedAt,
      state: 'left',
    };
    if (!isNewerRecord(departed, record)) return false;
    this.put(departed, now);
    return true;
  }

  /** Marks silent servers, and removes records that are too old. */
  expire(now: number): void {
    const {silentAfterMilliseconds, forgetAfterMilliseconds} = this.options;
    for (const [id, entry] of this.entries) {
      const {record, announcedAt} = entry;
      const age = now - announcedAt;
      if (age > forgetAfterMilliseconds) {
        this.entries.delete(id);
        this.forgottenRevision = Math.max(
          this.forgottenRevision,
          entry.revision,
        );
      } else if (age > silentAfterMilliseconds && record.state === 'ready') {
        this.change(entry, {
          ...withColdTimeAt(record, entry.coldUntil, now),
          state: 'silent',
        });
      }
    }
  }

  /**
   * Returns the records changed after a revision, or all of them for another
   * epoch, or if some changes are forgotten; undefined if nothing changed.
   */
  changesSince(epoch: string, revision: number): DirectoryUpdate | undefined {
    const isKnown = epoch === this.epoch;
    if (isKnown && revision === this.revision) return undefined;
    const isComplete = !isKnown || revision < this.forgottenRevision;
    const since = isComplete ? -1 : revision;
    const records = [...this.entries.values()]
      .filter(entry => entry.revision > since && !entry.isWithheld)
      .map(({record}) => record);
    return {
      epoch: this.epoch,
      revision: this.revision,
      records,
      isComplete,
    };
  }

  private addressOwnerOf({
    id,
    address,
  }: BackendServerRecord): Entry | undefined {
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

  private put(announced: BackendServerRecord, now: number): void {
    const entry = this.entries.get(announced.id);
    const record = withKnownColdTime(announced, entry, now);
    const coldUntil = now + (record.coldMilliseconds ?? 0);
    const isWithheld = this.isWithheld(record, entry);
    if (entry === undefined) {
      const {revision} = this;
      const added = {
        record,
        announcedAt: now,
        revision,
        coldUntil,
        isWithheld,
      };
      this.entries.set(record.id, added);
      this.change(added, record);
      return;
    }
    entry.announcedAt = now;
    const isEqual =
      isEqualRecord(entry.record, record) &&
      entry.isWithheld === isWithheld &&
      !isNewColdPeriod(entry, record, coldUntil);
    if (isEqual) {
      entry.record = record;
      return;
    }
    entry.coldUntil = coldUntil;
    entry.isWithheld = isWithheld;
    this.change(entry, record);
  }

  /** Whether routers must not hear of a record; they hear of each departure. */
  private isWithheld(record: BackendServerRecord, known?: Entry): boolean {
    if (isDeparture(record)) return false;
    const isOffered =
      known?.isWithheld === false && isSameSoftware(known.record, record);
    return !isOffered && !this.options.isRecorded(record);
  }

  private change(entry: Entry, record: BackendServerRecord): void {
    entry.record = record;
    if (isDeparture(record)) entry.isWithheld = false;
    if (!entry.isWithheld) entry.revision = ++this.revision;
    if (isDeparture(record)) this.newestDeparture = this.revision;
    this.onChange(record);
  }
}

/** A record of the replicated log doesn't tell whether its server is cold. */
function withKnownColdTime(
  record: BackendServerRecord,
  known: Pick<Entry, 'record' | 'coldUntil'> | undefined,
  now: number,
): BackendServerRecord {
  if (record.coldMilliseconds !== undefined || known === undefined) {
    return record;
  }
  const {startedAt, coldMilliseconds} = known.record;
  if (startedAt !== record.startedAt || coldMilliseconds === undefined) {
    return record;
  }
  return withColdTimeAt({...record, coldMilliseconds}, known.coldUntil, now);
}

/** Replaces the time for which a server stays cold by what is left of it. */
function withColdTimeAt(
  record: BackendServerRecord,
  coldUntil: number,
  now: number,
): BackendServerRecord {
  if (record.coldMilliseconds === undefined) return record;
  return {...record, coldMilliseconds: Math.ceil(Math.max(0, coldUntil - now))};
}

/** Whether a cold period has begun or ended, or ends later than routers know. */
function isNewColdPeriod(
  {record: known, coldUntil: knownUntil}: Entry,
  record: BackendServerRecord,
  coldUntil: number,
): boolean {
  const isKnown = known.coldMilliseconds !== undefined;
  if (isKnown !== (record.coldMilliseconds !== undefined)) return true;
  if (isAnnouncedCold(known) !== isAnnouncedCold(record)) return true;
  const isLater = coldUntil > knownUntil + coldToleranceMilliseconds;
  return isAnnouncedCold(record) && isLater;
}
