/**
 * @fileoverview Bytes and time of the gossip about instances and backend
 * servers: a digest, and the answer with everything that was renewed since.
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
import {announcementsOf} from './decisionCost.js';

const repetitions = 30;

/** The gossip faces that directory and instance table share. */
interface GossipTable<T> {
  digest: () => Digest;
  newerThan: (digest: Digest, now: number) => Array<AgedRecord<T>>;
  merge: (records: Array<AgedRecord<T>>, askedAt: number) => unknown;
}

/** One row for each number of instances, then of servers. */
export function measureGossip(
  instanceCounts: readonly number[],
  serverCounts: readonly number[],
): Row[] {
  return [
    ...instanceCounts.map(count =>
      measureExchange(
        `${count} instances`,
        () => instancesOf(count, 1),
        () => instancesOf(count, 2),
      ),
    ),
    ...serverCounts.map(count =>
      measureExchange(
        `${count} servers`,
        () => serversOf(count, 1),
        () => serversOf(count, 2),
      ),
    ),
  ];
}

/** One pull, where the answering side holds a newer version of each record. */
function measureExchange<T>(
  name: string,
  createAsker: () => GossipTable<T>,
  createAnswerer: () => GossipTable<T>,
): Row {
  const answerer = createAnswerer();
  let digestBytes = 0;
  let answerBytes = 0;
  let digestTime = 0;
  let answerTime = 0;
  let mergeTime = 0;
  for (let count = 0; count < repetitions; count += 1) {
    const asker = createAsker();
    const start = performance.now();
    const digest = JSON.stringify(asker.digest());
    const digested = performance.now();
    const records = answerer.newerThan(JSON.parse(digest) as Digest, 1_000);
    const answer = JSON.stringify(records);
    const answered = performance.now();
    asker.merge(JSON.parse(answer) as Array<AgedRecord<T>>, 1_000);
    mergeTime += performance.now() - answered;
    answerTime += answered - digested;
    digestTime += digested - start;
    digestBytes = Buffer.byteLength(digest);
    answerBytes = Buffer.byteLength(answer);
  }
  return {
    table: name,
    'digest bytes': digestBytes,
    'answer bytes, all renewed': answerBytes,
    'digest ms': digestTime / repetitions,
    'answer ms': answerTime / repetitions,
    'merge ms': mergeTime / repetitions,
  };
}

function serversOf(count: number, sequence: number): GossipTable<Announcement> {
  const directory = new BackendDirectory();
  for (const announcement of announcementsOf(count, seededRandom(1))) {
    directory.observe({...announcement, sequence, cache: undefined}, 0);
  }
  return directory;
}

function instancesOf(
  count: number,
  sequence: number,
): GossipTable<InstanceRecord> {
  const records = Array.from({length: count}, (_, index) =>
    instanceOf(index, sequence),
  );
  const table = new InstanceTable(records[0]!, 0);
  const aged = records.map(record => ({record, ageMilliseconds: 0}));
  table.merge(aged, 0);
  return table;
}

function instanceOf(index: number, sequence: number): InstanceRecord {
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
