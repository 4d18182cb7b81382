/**
 * @fileoverview Measures bytes and time of gossip about instances and backend
 * servers: a digest, and the response with all records renewed since.
 */
import {type Announcement} from '@dogwoodtrestle/schema';
import {
  type AgedRecord,
  type Digest,
  BackendDirectory,
  type InstanceRecord,
  InstanceTable,
} from '@dogwoodtrestle/routing';

import {seededRandom} from '../util/random.js';
import {type Row} from '../util/table.js';
import {createAnnouncements} from './decisionCost.js';

const repetitions = 30;

/** Gossip methods that backend directory and instance table have in common. */
interface GossipTable<T> {
  digest: () => Digest;
  newerThan: (digest: Digest, now: number) => Array<AgedRecord<T>>;
  merge: (records: Array<AgedRecord<T>>, requestedAt: number) => unknown;
}

/** Returns one row for each number of instances, then of servers. */
export function measureGossip(
  instanceCounts: readonly number[],
  serverCounts: readonly number[],
): Row[] {
  return [
    ...instanceCounts.map(count =>
      measureExchange(
        `${count} instances`,
        () => createInstanceTable(count, 1),
        () => createInstanceTable(count, 2),
      ),
    ),
    ...serverCounts.map(count =>
      measureExchange(
        `${count} servers`,
        () => createBackendDirectory(count, 1),
        () => createBackendDirectory(count, 2),
      ),
    ),
  ];
}

/** Measures a pull whose responder holds a newer version of each record. */
function measureExchange<T>(
  name: string,
  createRequester: () => GossipTable<T>,
  createResponder: () => GossipTable<T>,
): Row {
  const responder = createResponder();
  let digestBytes = 0;
  let responseBytes = 0;
  let digestTime = 0;
  let responseTime = 0;
  let mergeTime = 0;
  for (let count = 0; count < repetitions; count += 1) {
    const requester = createRequester();
    const start = performance.now();
    const digest = JSON.stringify(requester.digest());
    const digestedAt = performance.now();
    const records = responder.newerThan(JSON.parse(digest) as Digest, 1_000);
    const response = JSON.stringify(records);
    const respondedAt = performance.now();
    requester.merge(JSON.parse(response) as Array<AgedRecord<T>>, 1_000);
    mergeTime += performance.now() - respondedAt;
    responseTime += respondedAt - digestedAt;
    digestTime += digestedAt - start;
    digestBytes = Buffer.byteLength(digest);
    responseBytes = Buffer.byteLength(response);
  }
  return {
    table: name,
    'digest bytes': digestBytes,
    'answer bytes, all renewed': responseBytes,
    'digest ms': digestTime / repetitions,
    'answer ms': responseTime / repetitions,
    'merge ms': mergeTime / repetitions,
  };
}

function createBackendDirectory(
  count: number,
  sequence: number,
): GossipTable<Announcement> {
  const directory = new BackendDirectory();
  for (const announcement of createAnnouncements(count, seededRandom(1))) {
    directory.observe({...announcement, sequence, cache: undefined}, 0);
  }
  return directory;
}

function createInstanceTable(
  count: number,
  sequence: number,
): GossipTable<InstanceRecord> {
  const records = Array.from({length: count}, (_, index) =>
    createInstanceRecord(index, sequence),
  );
  const table = new InstanceTable(records[0]!, 0);
  const aged = records.map(record => ({record, ageMilliseconds: 0}));
  table.merge(aged, 0);
  return table;
}

function createInstanceRecord(index: number, sequence: number): InstanceRecord {
  return {
    cluster: 'desk',
    name: `instance-${index}`,
    incarnation: 1_765_000_000_000,
    sequence,
    state: 'serving',
    address: `10.0.${index >> 8}.${index & 255}`,
    callerPort: 8080,
    peerPort: 8081,
    region: 'bc',
    failureDomain: 'kamloops-1',
    roles: ['router'],
    revision: 12,
    renewedMillisecondsAgo: 40,
    wallClock: 1_765_000_000_000,
  };
}
