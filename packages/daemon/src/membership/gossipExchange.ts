/**
 * @fileoverview Questions and answers of one gossip round, in few bytes.
 *
 * A question first carries only sequences, and full digests if the peer holds
 * other records. An answer carries whole records only where the asker lacks
 * more than a renewal.
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
import {OfferChanges} from './offerChanges.js';
import {
  backendRenewalOf,
  instanceRenewalOf,
  renewBackend,
  renewInstance,
} from './renewals.js';

/** What the exchange needs. */
export interface GossipExchangeOptions {
  table: InstanceTable;
  directory: BackendDirectory;
  /** Peer address of this instance. */
  address: string;
  clock: Clock;
  /** Sends a question; rejects if the peer can't be reached. */
  send: (address: string, request: GossipRequest) => Promise<GossipReply>;
}

interface Digests {
  instances: Digest;
  backends: Digest;
}

/** Asks peers, and answers them. */
export class GossipExchange {
  private readonly instanceChanges = new OfferChanges();
  private readonly backendChanges = new OfferChanges();

  constructor(private readonly options: GossipExchangeOptions) {}

  /** Asks a peer for what is newer, and takes it in. */
  async ask(address: string): Promise<GossipReply> {
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
    this.takeIn(reply, digests, askedAt);
    return reply;
  }

  /** Answers a peer. */
  answer(request: GossipRequest): GossipReply {
    this.noteOwn();
    const digests = this.digestsOf(request);
    const empty = {instances: [], backends: []};
    if (digests === undefined) {
      return {...empty, renewals: empty, needsDigests: true};
    }
    const {table, directory, clock} = this.options;
    const now = clock.now();
    const instances = split(
      table.newerThan(digests.instances, now),
      this.instanceChanges,
      digests.instances,
    );
    const backends = split(
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

  /** Takes in an announcement made to this instance. */
  observe(announcement: Announcement): void {
    const {directory, clock} = this.options;
    const observation = directory.observe(announcement, clock.now());
    this.backendChanges.note(announcement, observation);
  }

  /** Drops what has long been silent. */
  forget(): void {
    const {table, directory, clock} = this.options;
    this.instanceChanges.forget(table.removeExpired(clock.now()));
    this.backendChanges.forget(directory.removeExpired(clock.now()));
  }

  private takeIn(reply: GossipReply, sent: Digests, askedAt: number): void {
    const {table, directory} = this.options;
    const instances = [
      ...reply.instances,
      ...reply.renewals.instances.flatMap(renewal => {
        const held = table.get(renewal.name);
        return isSent(held, sent.instances)
          ? [renewInstance(held, renewal)]
          : [];
      }),
    ];
    const backends = [
      ...reply.backends,
      ...reply.renewals.backends.flatMap(renewal => {
        const held = directory.get(renewal.name)?.announcement;
        return isSent(held, sent.backends) ? [renewBackend(held, renewal)] : [];
      }),
    ];
    for (const {record, observation} of table.merge(instances, askedAt)) {
      this.instanceChanges.note(record, observation);
    }
    for (const {record, observation} of directory.merge(backends, askedAt)) {
      this.backendChanges.note(record, observation);
    }
  }

  /** The own record is renewed without an observation. */
  private noteOwn(): void {
    const {ownRecord: own} = this.options.table;
    const isKnown = this.instanceChanges.holdsOffer(own, own);
    if (!isKnown || own.state === 'leaving') {
      this.instanceChanges.note(own, 'updated');
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

  private digestsOf(request: GossipRequest): Digests | undefined {
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

/** Whether a record is of the incarnation that a digest told of. */
function isSent<T extends InstanceRecord | Announcement>(
  held: T | undefined,
  {versions}: Digest,
): held is T {
  return (
    held !== undefined && versions[held.name]?.incarnation === held.incarnation
  );
}

/** Parts records that the asker lacks from those that it can renew. */
function split<T extends InstanceRecord | Announcement>(
  records: Array<AgedRecord<T>>,
  changes: OfferChanges,
  {versions}: Digest,
): {whole: Array<AgedRecord<T>>; renewed: Array<AgedRecord<T>>} {
  const isRenewal = ({record}: AgedRecord<T>) =>
    changes.holdsOffer(record, versions[record.name]) &&
    !('cache' in record && record.cache !== undefined);
  return {
    whole: records.filter(each => !isRenewal(each)),
    renewed: records.filter(isRenewal),
  };
}
