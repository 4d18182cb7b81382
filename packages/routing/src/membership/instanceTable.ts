/**
 * @fileoverview Membership table: the newest record of each instance, spread by
 * pull gossip, and findings about records that contradict each other.
 */
import {
  type AgedRecord,
  type Digest,
  type DigestSlice,
  GossipTable,
  type Observation,
  type TableEntry,
} from '../util/gossipTable.js';
import {type InstanceRecord, peerAddressOf} from './instanceRecord.js';
import {findingOf, type MembershipFinding} from './membershipFinding.js';

/** Age limits of heartbeats and tolerance of clocks. */
export interface InstanceTableOptions {
  /** Age of the newest heartbeat from which an instance counts as silent. */
  silentAfterMilliseconds: number;
  /** Age of the newest heartbeat from which an instance is removed. */
  expireAfterMilliseconds: number;
  /** Differences of wall clocks above this are reported. */
  clockToleranceMilliseconds: number;
}

/** Default limits. */
export const defaultInstanceTableOptions: InstanceTableOptions = {
  silentAfterMilliseconds: 5_000,
  expireAfterMilliseconds: 600_000,
  clockToleranceMilliseconds: 5_000,
};

/** An instance with its state at the time of the query. */
export interface InstanceStatus {
  record: InstanceRecord;
  /** `silent` if the newest heartbeat is too old. */
  state: 'serving' | 'leaving' | 'silent';
  /** Age of the newest heartbeat. */
  ageMilliseconds: number;
}

/** Fields of an instance's own record that change while it runs. */
export type Heartbeat = Pick<
  InstanceRecord,
  'state' | 'roles' | 'revision' | 'renewedMillisecondsAgo' | 'wallClock'
>;

interface FirstSeen {
  incarnation: number;
  seenAt: number;
}

/** Instances that this one knows, by name. Times are monotonic milliseconds. */
export class InstanceTable {
  private readonly options: InstanceTableOptions;
  private readonly table: GossipTable<InstanceRecord>;
  private readonly conflicts = new Map<string, MembershipFinding>();
  /** When the current incarnation of each instance was first seen. */
  private readonly firstSeenByName = new Map<string, FirstSeen>();

  /**
   * @param self Record of this instance. Its name, cluster and address are
   *     fixed.
   * @param now Monotonic milliseconds.
   */
  constructor(
    private self: InstanceRecord,
    now: number,
    options: Partial<InstanceTableOptions> = {},
  ) {
    this.options = {...defaultInstanceTableOptions, ...options};
    this.table = new GossipTable({
      expireAfterMilliseconds: this.options.expireAfterMilliseconds,
      differs: hasRecordChanged,
    });
    this.table.observe(self, now);
    this.recordFirstSeen(self.name, now);
  }

  /** Newest record of this instance. */
  get ownRecord(): InstanceRecord {
    return this.self;
  }

  /** Publishes a new version of the own record; call once per gossip round. */
  renewOwnRecord(heartbeat: Heartbeat, now: number): void {
    const sequence = this.self.sequence + 1;
    this.self = {...this.self, ...heartbeat, sequence};
    this.table.observe(this.self, now);
  }

  /** Returns the record of the named instance, in any state. */
  get(name: string): InstanceRecord | undefined {
    return this.table.get(name)?.record;
  }

  /** Returns all known instances with their states, including this one. */
  entries(now: number): InstanceStatus[] {
    return [...this.table.values()].map(entry => ({
      record: entry.record,
      state: this.stateOf(entry, now),
      ageMilliseconds: Math.max(0, now - entry.observedAt),
    }));
  }

  /** Returns the versions held, to ask a peer for newer records. */
  digest(slice?: DigestSlice): Digest {
    return this.table.digest(slice);
  }

  /** Returns records newer than the digest, with their ages. */
  newerThan(digest: Digest, now: number): Array<AgedRecord<InstanceRecord>> {
    return this.table.newerThan(digest, now);
  }

  /**
   * Merges a peer's reply to a digest. Records of other clusters and of this
   * instance are only checked for conflicts.
   *
   * @param askedAt When this instance sent the digest. Ages count from then,
   *     so that they include the network delay.
   */
  merge(
    records: ReadonlyArray<AgedRecord<InstanceRecord>>,
    askedAt: number,
  ): Array<{record: InstanceRecord; observation: Observation}> {
    const accepted = records.filter(({record, ageMilliseconds}) =>
      this.checkRecord(record, askedAt - ageMilliseconds),
    );
    const others = accepted.filter(({record}) => !this.detectOwnRecord(record));
    const merged = this.table.merge(others, askedAt);
    for (const {record} of merged) this.recordFirstSeen(record.name, askedAt);
    return merged;
  }

  /** Removes instances past the expiry age; returns their names. */
  removeExpired(now: number): string[] {
    const expired = this.table.removeExpired(now);
    for (const name of expired) this.firstSeenByName.delete(name);
    for (const [key, {instance}] of this.conflicts) {
      if (expired.includes(instance)) this.conflicts.delete(key);
    }
    return expired;
  }

  /**
   * Returns the misconfigurations found so far.
   *
   * @param wallClock Wall clock of this instance, in milliseconds since 1970.
   */
  findings(now: number, wallClock: number): MembershipFinding[] {
    return [
      ...this.conflicts.values(),
      ...this.duplicateAddresses(now),
      ...this.clockFindings(now, wallClock),
    ];
  }

  private stateOf(
    {record, observedAt}: TableEntry<InstanceRecord>,
    now: number,
  ): InstanceStatus['state'] {
    if (record.name === this.self.name) return record.state;
    if (now - observedAt >= this.options.silentAfterMilliseconds) {
      return 'silent';
    }
    return record.state;
  }

  private checkRecord(record: InstanceRecord, madeAt: number): boolean {
    const {cluster} = this.self;
    if (record.cluster !== cluster) {
      const message = `Instance '${record.name}' belongs to cluster '${record.cluster}', not to '${cluster}'.`;
      this.addConflict(findingOf('wrongCluster', record, message));
      return false;
    }
    this.checkDuplicateName(record, madeAt);
    return true;
  }

  /**
   * Records a conflict if two running instances use the same name. A restart at
   * another address is none; an older incarnation that still sends heartbeats
   * after the newer one was seen is.
   */
  private checkDuplicateName(record: InstanceRecord, madeAt: number): void {
    const known = this.get(record.name);
    if (!known || peerAddressOf(known) === peerAddressOf(record)) return;
    const isSelf = record.name === this.self.name;
    const isOlder = record.incarnation < known.incarnation;
    const seenAt = this.firstSeenByName.get(record.name)?.seenAt ?? Infinity;
    const areBothActive = (isSelf || isOlder) && madeAt > seenAt;
    if (!areBothActive && record.incarnation !== known.incarnation) return;
    const message = `Two instances are named '${record.name}': at ${peerAddressOf(known)} and at ${peerAddressOf(record)}.`;
    this.addConflict(findingOf('duplicateName', record, message));
  }

  private recordFirstSeen(name: string, now: number): void {
    const incarnation = this.get(name)?.incarnation;
    if (incarnation === undefined) return;
    if (this.firstSeenByName.get(name)?.incarnation === incarnation) return;
    this.firstSeenByName.set(name, {incarnation, seenAt: now});
  }

  private detectOwnRecord(record: InstanceRecord): boolean {
    const isOwn = record.name === this.self.name;
    const isHigher = record.incarnation > this.self.incarnation;
    // If the clock was set back before a restart, other instances hold a higher
    // incarnation of this instance and would ignore the current one.
    if (isOwn && isHigher) this.raiseIncarnation(record);
    return isOwn;
  }

  private raiseIncarnation(record: InstanceRecord): void {
    if (peerAddressOf(record) !== peerAddressOf(this.self)) return;
    this.self = {...this.self, incarnation: record.incarnation + 1};
  }

  private duplicateAddresses(now: number): MembershipFinding[] {
    const byAddress = new Map<string, InstanceRecord>();
    const findings: MembershipFinding[] = [];
    for (const {record, state} of this.entries(now)) {
      if (state === 'silent') continue;
      const address = peerAddressOf(record);
      const other = byAddress.get(address);
      if (!other) {
        byAddress.set(address, record);
        continue;
      }
      const message = `Instances '${other.name}' and '${record.name}' both give the address ${address}.`;
      findings.push(findingOf('duplicateAddress', record, message));
    }
    return findings;
  }

  private clockFindings(now: number, wallClock: number): MembershipFinding[] {
    const {clockToleranceMilliseconds} = this.options;
    return this.entries(now)
      .filter(({state}) => state !== 'silent')
      .map(({record, ageMilliseconds}) => ({
        record,
        ahead: Math.round(record.wallClock + ageMilliseconds - wallClock),
      }))
      .filter(({ahead}) => Math.abs(ahead) > clockToleranceMilliseconds)
      .map(({record, ahead}) =>
        findingOf(
          'clockOff',
          record,
          `The clock of '${record.name}' differs by ${ahead} ms from the clock of '${this.self.name}'.`,
        ),
      );
  }

  private addConflict(finding: MembershipFinding): void {
    this.conflicts.set(
      [finding.code, finding.instance, finding.place].join(' '),
      finding,
    );
  }
}

function hasRecordChanged(
  before: InstanceRecord,
  after: InstanceRecord,
): boolean {
  return (
    peerAddressOf(before) !== peerAddressOf(after) ||
    before.callerPort !== after.callerPort ||
    before.state !== after.state ||
    before.revision !== after.revision ||
    before.roles.join() !== after.roles.join()
  );
}
