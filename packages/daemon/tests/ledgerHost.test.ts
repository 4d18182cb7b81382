import {appendFile, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';

import {type Bill, type PeerIdentity} from '@dogwoodtrestle/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {BarrierQueue} from '../src/ledgerHost/barrierQueue.js';
import {BillArchive} from '../src/ledgerHost/billArchive.js';
import {BillFetcher} from '../src/ledgerHost/billFetcher.js';
import {bootstrapCluster} from '@dogwoodtrestle/consensus';
import {CleanUps, temporaryFolder} from './fixtures.js';

const cleanUps = new CleanUps();

afterEach(() => cleanUps.run());

function billOf(index: number, customer = 'exchange'): Bill {
  return {index, customer, settledAt: index * 10, cost: index} as Bill;
}

async function archiveFile(): Promise<string> {
  return path.join(await temporaryFolder(cleanUps), 'bills.jsonl');
}

async function indexesIn(archive: BillArchive): Promise<number[]> {
  return (await archive.read({})).map(({index}) => index);
}

describe('BillArchive', () => {
  it('removes bills after the snapshot, which are produced again', async () => {
    const file = await archiveFile();
    const archive = await BillArchive.open(file, 0);
    archive.append([billOf(1), billOf(1)]);
    archive.append([billOf(2)]);
    archive.sync(2);
    archive.append([billOf(3)]);
    archive.close();
    await appendFile(file, '{"bill":{"ind');
    const again = await BillArchive.open(file, 2);
    expect(again.gap).toBeUndefined();
    again.append([billOf(2)]);
    again.append([billOf(3), billOf(3)]); // one was written before the restart
    expect(await indexesIn(again)).toEqual([1, 1, 2, 3, 3]);
    expect(await again.read({since: 20, limit: 1})).toEqual([billOf(2)]);
    expect(await again.read({customer: 'other'})).toEqual([]);
    again.close();
  });

  it('is incomplete after a snapshot of another replica until it is filled', async () => {
    const file = await archiveFile();
    const archive = await BillArchive.open(file, 0);
    archive.append([billOf(1)]);
    archive.skipTo(5);
    archive.append([billOf(6)]);
    await expect(archive.read({})).rejects.toThrow('another replica');
    archive.sync(6);
    archive.close();
    const again = await BillArchive.open(file, 6);
    expect(again.gap).toEqual({after: 0, until: 6});
    again.append([billOf(7)]);
    again.fillGap([billOf(1), billOf(4), billOf(6)]);
    expect(await indexesIn(again)).toEqual([1, 4, 6, 7]);
    again.sync(7);
    again.close();
    expect((await BillArchive.open(file, 7)).gap).toBeUndefined();
  });

  // Guards against a last line without its end that is taken for whole: the next
  // line was joined to it, and no bill after it could be read.
  it('loses no bill if its file ends at any byte', async () => {
    const file = await archiveFile();
    const bills = [1, 2].map(index => billOf(index, 'ลำไย\u2028'));
    const archive = await BillArchive.open(file, 0);
    archive.append(bills);
    archive.sync(2);
    archive.close();
    const whole = await readFile(file);
    for (let length = 0; length <= whole.length; length++) {
      await writeFile(file, whole.subarray(0, length));
      const cut = await BillArchive.open(file, 2);
      const isWhole = cut.gap === undefined;
      if (!isWhole) cut.fillGap(bills);
      cut.append([billOf(3)]);
      const found = await cut.read({});
      cut.close();
      expect({length, isWhole, found}).toEqual({
        length,
        isWhole: length === whole.length,
        found: [...bills, billOf(3)],
      });
    }
  });
});

describe('a damaged line of a bill archive', () => {
  // Guards against bills before it that are taken for all bills.
  it.each(['read', 'readEntries'] as const)(
    'ends no list of bills as if it were complete: %s',
    async method => {
      const file = await archiveFile();
      const archive = await BillArchive.open(file, 0);
      archive.append([billOf(1), billOf(2), billOf(3)]);
      archive.sync(3);
      const text = await readFile(file, 'utf8');
      await writeFile(file, text.replace('{"bill":{"index":2', 'x'));
      const readers = {
        read: () => archive.read({}),
        readEntries: () => archive.readEntries({after: 0, until: 3}, 10),
      };
      await expect(readers[method]()).rejects.toThrow(/damaged at byte \d+/);
      archive.close();
    },
  );
});

describe('BillFetcher', () => {
  it('reads all pages from a replica whose archive is complete', async () => {
    const pages = new Map([
      [1, [billOf(2), billOf(3)]],
      [3, [billOf(4)]],
      [4, []],
    ]);
    const fetcher = new BillFetcher({
      addresses: () => ['unreachable', 'incomplete', 'whole'],
      fetchPage: async (address, {after}) => {
        if (address === 'unreachable') throw new Error('unreachable');
        return address === 'whole' ? {bills: pages.get(after)} : {};
      },
    });
    const bills = await fetcher.fetch({after: 1, until: 4});
    expect(bills?.map(({index}) => index)).toEqual([2, 3, 4]);
  });

  // Guards against a page without bills that is taken for the end: a page had whole
  // log entries only, and none where the next entry had more bills than it.
  it.each([1, 2, 3, 4, 9])(
    'reads all bills in pages of %i',
    async billsPerPage => {
      const archive = await BillArchive.open(await archiveFile(), 0);
      const indexes = [1, 2, 2, 2, 2, 3, 5, 5, 6];
      archive.append(indexes.map(index => billOf(index)));
      const fetcher = new BillFetcher({
        addresses: () => ['whole'],
        fetchPage: async (_, range) => ({
          bills: await archive.readEntries(range, billsPerPage),
        }),
      });
      const bills = await fetcher.fetch({after: 1, until: 5});
      archive.close();
      expect(bills?.map(({index}) => index)).toEqual(indexes.slice(1, -1));
    },
  );
});

describe('BarrierQueue', () => {
  it('shares a barrier only with reads that started before it', async () => {
    const begun: Array<() => void> = [];
    const queue = new BarrierQueue(
      () => new Promise<void>(resolve => begun.push(resolve)),
    );
    const first = queue.wait();
    const later = [queue.wait(), queue.wait()];
    expect(begun).toHaveLength(1);
    begun[0]?.();
    await first;
    await expect.poll(() => begun.length).toBe(2);
    begun[1]?.();
    await Promise.all(later);
    expect(begun).toHaveLength(2);
  });
});

describe('bootstrapCluster', () => {
  const initialReplicas = ['a:1', 'b:1', 'c:1'];

  function identityOf(id: string, logEmpty = true): PeerIdentity {
    const replica = {replicaId: id, logEmpty};
    return {instance: id, incarnation: 1, address: '', wallTime: 1, replica};
  }

  async function attempt(
    own: PeerIdentity,
    others: Record<string, PeerIdentity>,
    address = 'a:1',
  ) {
    const calls: string[] = [];
    const outcome = await bootstrapCluster({
      address,
      initialReplicas,
      identity: () => own,
      fetchIdentity: async other => {
        const identity = others[other];
        if (identity === undefined) throw new Error('unreachable');
        return identity;
      },
      bootstrapLocally: async members => {
        calls.push(`local ${members.map(({id}) => id).join()}`);
      },
      bootstrapRemotely: async other => {
        calls.push(other);
      },
    });
    return {outcome, calls};
  }

  const empty = {'b:1': identityOf('b'), 'c:1': identityOf('c')};
  const used = {...empty, 'c:1': identityOf('c', false)};

  it('makes the membership durable locally before telling the others', async () => {
    expect(await attempt(identityOf('a'), empty)).toEqual({
      outcome: 'founded',
      calls: ['local a,b,c', 'b:1', 'c:1'],
    });
  });

  it.each([
    [
      'another instance is to bootstrap',
      identityOf('b'),
      empty,
      'b:1',
      'notFounder',
    ],
    ['the local log is not empty', identityOf('a', false), {}, 'a:1', 'exists'],
    ['another log is not empty', identityOf('a'), used, 'a:1', 'exists'],
    [
      'an instance does not answer',
      identityOf('a'),
      {'b:1': identityOf('b')},
      'a:1',
      'waiting',
    ],
  ])('does nothing while %s', async (_name, own, others, address, outcome) => {
    expect(await attempt(own, others, address)).toEqual({outcome, calls: []});
  });

  it('rejects with the name of an instance without a replica', async () => {
    const bare = {...identityOf('c'), replica: undefined};
    const others = {...empty, 'c:1': bare};
    await expect(attempt(identityOf('a'), others)).rejects.toThrow(
      'without the ledger role: c',
    );
  });
});
