/**
 * @fileoverview Requests and replies of one gossip round.
 *
 * To save bytes, a request first contains brief digests, and full digests only
 * if the peer holds different records. A reply contains a whole record only if
 * the requester is missing more than a renewal.
 */
import {
  type AgedRecord,
  type Digest,
  type BackendDirectory,
  type InstanceRecord,
  type InstanceTable,
} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type GossipReply,
  type GossipRequest,
} from '@dogwoodtrestle/schema';

import {type Clock} from '@dogwoodtrestle/runtime';
import {briefDigestOf, expandDigest} from './briefDigest.js';
import {RecordChanges} from './recordChanges.js';
import {
  backendRenewalOf,
  instanceRenewalOf,
  renewBackend,
  renewInstance,
} from './renewals.js';

/** Dependencies of the exchange. */
export interface GossipExchangeOptions {
  table: InstanceTable;
  directory: BackendDirectory;
  /** Peer address of this instance. */
  address: string;
  clock: Clock;
  /** Sends a request; rejects if the peer can't be reached. */
  send: (address: string, request: GossipRequest) => Promise<GossipReply>;
}

interface Digests {
  instances: Digest;
  backends: Digest;
}

/** Pulls newer records from peers and answers their requests. */
export class GossipExchange {
  private readonly instanceChanges = new RecordChanges();
  private readonly backendChanges = new RecordChanges();

  constructor(private readonly options: GossipExchangeOptions) {}

  /**
   * Requests newer records from a peer and merges them.
   *
   * @throws The error of `send` if the peer can't be reached.
   */
  async pull(address: string): Promise<GossipReply> {
    const {send, clock} = this.options;
    const from = this.sender();
    const digests = this.digests();
    const brief = {
      instances: briefDigestOf(digests.instances),
      backends: briefDigestOf(digests.backends),
    };
    let askedAt = clock.now();
    let reply = await send(address, {from, brief});
    if (reply.needsDigests === true) {
      askedAt = clock.now();
      reply = await send(address, {from, ...digests});
    }
    this.mergeReply(reply, digests, askedAt);
    return reply;
  }

  /**
   * Returns the records that are newer than the digests of a request, or asks
   * for full digests if the brief ones can't be expanded.
   */
  handleRequest(request: GossipRequest): GossipReply {
    this.recordOwnChange();
    const digests = this.requestDigests(request);
    const empty = {instances: [], backends: []};
    if (digests === undefined) {
      return {...empty, renewals: empty, needsDigests: true};
    }
    const {table, directory, clock} = this.options;
    const now = clock.now();
    const instances = splitRecords(
      table.newerThan(digests.instances, now),
      this.instanceChanges,
      digests.instances,
    );
    const backends = splitRecords(
      directory.newerThan(digests.backends, now),
      this.backendChanges,
      digests.backends,
    );
    return {
      instances: instances.whole,
      backends: backends.whole,
      renewals: {
        instances: instances.renewed.map(instanceRenewalOf),
        backends: backends.renewed.map(backendRenewalOf),
      },
    };
  }

  /** Stores an announcement that a backend server made to this instance. */
  observe(announcement: Announcement): void {
    const {directory, clock} = this.options;
    const observation = directory.observe(announcement, clock.now());
    this.backendChanges.record(announcement, observation);
  }

  /** Removes the records that have expired. */
  removeExpired(): void {
    const {table, directory, clock} = this.options;
    this.instanceChanges.remove(table.removeExpired(clock.now()));
    this.backendChanges.remove(directory.removeExpired(clock.now()));
  }

  private mergeReply(reply: GossipReply, sent: Digests, askedAt: number): void {
    const {table, directory} = this.options;
    const instances = [
      ...reply.instances,
      ...reply.renewals.instances.flatMap(renewal => {
        const held = table.get(renewal.name);
        return hasSentIncarnation(held, sent.instances)
          ? [renewInstance(held, renewal)]
          : [];
      }),
    ];
    const backends = [
      ...reply.backends,
      ...reply.renewals.backends.flatMap(renewal => {
        const held = directory.get(renewal.name)?.announcement;
        return hasSentIncarnation(held, sent.backends)
          ? [renewBackend(held, renewal)]
          : [];
      }),
    ];
    for (const {record, observation} of table.merge(instances, askedAt)) {
      this.instanceChanges.record(record, observation);
    }
    for (const {record, observation} of directory.merge(backends, askedAt)) {
      this.backendChanges.record(record, observation);
    }
  }

  /**
   * Records the current version of the own record, which is renewed without an
   * observation, at the first request and while this instance is leaving.
   */
  private recordOwnChange(): void {
    const {ownRecord: own} = this.options.table;
    const isKnown = this.instanceChanges.hasCurrentContents(own, own);
    if (!isKnown || own.state === 'leaving') {
      this.instanceChanges.record(own, 'updated');
    }
  }

  private sender(): GossipRequest['from'] {
    const {table, address} = this.options;
    const {name, incarnation} = table.ownRecord;
    return {name, incarnation, address};
  }

  private digests(): Digests {
    const {table, directory} = this.options;
    return {instances: table.digest(), backends: directory.digest()};
  }

  private requestDigests(request: GossipRequest): Digests | undefined {
    const {brief, instances, backends} = request;
    if (instances !== undefined && backends !== undefined) {
      return {instances, backends};
    }
    if (brief === undefined) return undefined;
    const own = this.digests();
    const held = expandDigest(brief.instances, own.instances);
    const heldBackends = expandDigest(brief.backends, own.backends);
    return held && heldBackends && {instances: held, backends: heldBackends};
  }
}

/**
 * Whether a record still has the incarnation that the sent digest named; a
 * renewal doesn't apply to another incarnation.
 */
function hasSentIncarnation<T extends InstanceRecord | Announcement>(
  held: T | undefined,
  {versions}: Digest,
): held is T {
  return (
    held !== undefined && versions[held.name]?.incarnation === held.incarnation
  );
}

/** Splits records into those to send whole and those to send as renewals. */
function splitRecords<T extends InstanceRecord | Announcement>(
  records: Array<AgedRecord<T>>,
  changes: RecordChanges,
  {versions}: Digest,
): {whole: Array<AgedRecord<T>>; renewed: Array<AgedRecord<T>>} {
  const isRenewal = ({record}: AgedRecord<T>) =>
    changes.hasCurrentContents(record, versions[record.name]) &&
    !('cache' in record && record.cache !== undefined);
  return {
    whole: records.filter(each => !isRenewal(each)),
    renewed: records.filter(isRenewal),
  };
}
