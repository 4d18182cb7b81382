/**
 * @fileoverview What an instance knows of the others: their newest records,
 * spread by pull gossip with ages, and findings where they contradict each
 * other.
 */
import {
  type AgedRecord,
  GossipTable,
  type Digest,
  type DigestSlice,
  type MergeResult,
  type TableEntry,
} from '../util/agedTable.js';
import {type InstanceRecord, peerAddressOf} from './instanceRecord.js';
import {findingOf, type MembershipFinding} from './membershipFinding.js';

export interface InstanceTableOptions {
  /** Age of the newest heartbeat at which an instance counts as silent. */
  silentAfterMilliseconds: number;
  /** Age at which an instance is dropped from the table. */
  expireAfterMilliseconds: number;
  /** Difference between two wall clocks that is reported. */
  clockToleranceMilliseconds: number;
}

export const defaultInstanceTableOptions: InstanceTableOptions = {
  silentAfterMilliseconds: 5_000,
  expireAfterMilliseconds: 600_000,
  clockToleranceMilliseconds: 5_000,
};

export interface InstanceStatus {
  record: InstanceRecord;
  state: 'serving' | 'leaving' | 'silent';
  ageMilliseconds: number;
}

/** The parts of the own record that may change while the instance runs. */
export type Heartbeat = Pick<
  InstanceRecord,
  'state' | 'roles' | 'revision' | 'renewedMillisecondsAgo' | 'wallClock'
>;

interface FirstSight {
  incarnation: number;
  seenAt: number;
}

export class InstanceTable {
  private readonly options: InstanceTableOptions;
  private readonly table: GossipTable<InstanceRecord>;
  private readonly conflicts = new Map<string, MembershipFinding>();
  /** When the present incarnation of each instance was first seen. */
  private readonly firstSights = new Map<string, FirstSight>();

  /**
   * @param self The own record. Its name, cluster and address stay.
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
      differs: placeDiffers,
    });
    this.table.observe(self, now);
    this.noteFirstSight(self.name, now);
  }

  get ownRecord(): InstanceRecord {
    return this.self;
  }

  /** Makes the own record anew; call it once per gossip round. */
  renewOwnRecord(heartbeat: Heartbeat, now: number): void {
    const sequence = this.self.sequence + 1;
    this.self = {...this.self, ...heartbeat, sequence};
    this.table.observe(this.self, now);
  }

  get(name: string): InstanceRecord | undefined {
    return this.table.get(name)?.record;
  }

  /** All known instances, the own one among them. */
  entries(now: number): InstanceStatus[] {
    return [...this.table.values()].map(entry => ({
      record: entry.record,
      state: this.stateOf(entry, now),
      ageMilliseconds: Math.max(0, now - entry.observedAt),
    }));
  }

  /** Versions held; sent to a peer to ask for what is newer. */
  digest(slice?: DigestSlice): Digest {
    return this.table.digest(slice);
  }

  /** Records that the sender of the digest lacks, with their ages. */
  newerThan(digest: Digest, now: number): Array<AgedRecord<InstanceRecord>> {
    return this.table.newerThan(digest, now);
  }

  /**
   * Takes in a peer's answer to a digest.
   *
   * @param askedAt When this instance sent the digest, so that the time on the
   *     way counts as age.
   */
  merge(
    records: ReadonlyArray<AgedRecord<InstanceRecord>>,
    askedAt: number,
  ): Array<{record: InstanceRecord; mergeResult: MergeResult}> {
    const accepted = records.filter(({record, ageMilliseconds}) =>
      this.accepts(record, askedAt - ageMilliseconds),
    );
    const others = accepted.filter(({record}) => !this.isSelf(record));
    const merged = this.table.merge(others, askedAt);
    for (const {record} of merged) this.noteFirstSight(record.name, askedAt);
    return merged;
  }

  /** Drops instances that have long been silent; returns their names. */
  removeExpired(now: number): string[] {
    const forgotten = this.table.removeExpired(now);
    for (const name of forgotten) this.firstSights.delete(name);
    for (const [key, {instance}] of this.conflicts) {
      if (forgotten.includes(instance)) this.conflicts.delete(key);
    }
    return forgotten;
  }

  /**
   * Contradictions found so far.
   *
   * @param wallClock Of this instance, in milliseconds since 1970.
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

  private accepts(record: InstanceRecord, madeAt: number): boolean {
    const {cluster} = this.self;
    if (record.cluster !== cluster) {
      const message = `Instance '${record.name}' belongs to cluster '${record.cluster}', not to '${cluster}'.`;
      this.addConflict(findingOf('wrongCluster', record, message));
      return false;
    }
    this.checkName(record, madeAt);
    return true;
  }

  /**
   * An instance that moved is no conflict; an older one that still sends
   * heartbeats after the newer was seen is.
   */
  private checkName(record: InstanceRecord, madeAt: number): void {
    const known = this.get(record.name);
    if (!known || peerAddressOf(known) === peerAddressOf(record)) return;
    const isSelf = record.name === this.self.name;
    const isOlder = record.incarnation < known.incarnation;
    const seenAt = this.firstSights.get(record.name)?.seenAt ?? Infinity;
    const bothAlive = (isSelf || isOlder) && madeAt > seenAt;
    if (!bothAlive && record.incarnation !== known.incarnation) return;
    const message = `Two instances are named '${record.name}': at ${peerAddressOf(known)} and at ${peerAddressOf(record)}.`;
    this.addConflict(findingOf('duplicateName', record, message));
  }

  private noteFirstSight(name: string, now: number): void {
    const incarnation = this.get(name)?.incarnation;
    if (incarnation === undefined) return;
    if (this.firstSights.get(name)?.incarnation === incarnation) return;
    this.firstSights.set(name, {incarnation, seenAt: now});
  }

  private isSelf(record: InstanceRecord): boolean {
    const isOwn = record.name === this.self.name;
    const isHigher = record.incarnation > this.self.incarnation;
    // After a clock was set back, others hold a higher incarnation of this
    // instance from before its restart and would ignore the present one.
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

function placeDiffers(before: InstanceRecord, after: InstanceRecord): boolean {
  return (
    peerAddressOf(before) !== peerAddressOf(after) ||
    before.callerPort !== after.callerPort ||
    before.state !== after.state ||
    before.revision !== after.revision ||
    before.roles.join() !== after.roles.join()
  );
}
