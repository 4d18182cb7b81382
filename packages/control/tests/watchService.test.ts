/** @fileoverview Tests the replies to the routers' watch requests. */
import {LimitShares, ServerDirectory} from '@dogwoodtrestle/fleet';
import {
  CallContext,
  MetricsRegistry,
  silentLogger,
  systemClock,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type LimitReport,
  type WatchReply,
  type WatchRequest,
  type WatchUpdate,
} from '@dogwoodtrestle/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {KnownRouters} from '../src/knownRouters.js';
import {LimitTopic} from '../src/limitTopic.js';
import {type ReplicaGroup} from '../src/replicaGroup.js';
import {WatchService} from '../src/watchService.js';
import {createRecord} from './support/controlGroup.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** State of a leader's replica. */
interface Leadership {
  leadsWithQuorum: boolean;
  /** Age of the last confirmation by a majority; undefined if there is none. */
  confirmationAge?: number;
}

const watchMilliseconds = 1_000;

function createGroup(leadership: Leadership): ReplicaGroup {
  const fake = {
    isLeader: true,
    term: 7,
    addresses: [],
    leaderHint: () => ({kind: 'notLeader', replicas: []}),
    get leadsWithQuorum() {
      return leadership.leadsWithQuorum;
    },
    get confirmedAt() {
      const {confirmationAge} = leadership;
      if (confirmationAge === undefined) return undefined;
      return systemClock.now() - confirmationAge;
    },
    get isConfirmedLeader() {
      return leadership.leadsWithQuorum && this.confirmedAt !== undefined;
    },
  };
  return fake as unknown as ReplicaGroup;
}

function createService(fields: Partial<Leadership> = {}) {
  const leadership = {leadsWithQuorum: true, confirmationAge: 20, ...fields};
  const group = createGroup(leadership);
  const options = {
    clock: systemClock,
    logger: silentLogger,
    metrics: new MetricsRegistry(),
    watchMilliseconds,
    routerLostAfterMilliseconds: 5_000,
  };
  const directory: ServerDirectory = new ServerDirectory('epoch', {}, () =>
    service.notifyWatchers(),
  );
  const topic = new LimitTopic(systemClock, group, new LimitShares('epoch'));
  const service: WatchService = new WatchService(
    options,
    group,
    directory,
    [topic],
    new KnownRouters(options, group),
  );
  return {service, directory, leadership, topic};
}

/** Tracks a watch call, and when its reply came. */
function track(call: Promise<WatchReply>) {
  const sentAt = systemClock.now();
  const state: {reply?: WatchReply; milliseconds?: number} = {};
  void call.then(reply => {
    state.reply = reply;
    state.milliseconds = Math.round(systemClock.now() - sentAt);
  });
  return state;
}

async function watchOnce(
  service: WatchService,
  request: WatchRequest,
): Promise<WatchReply> {
  const call = service.watch(request);
  await vi.advanceTimersByTimeAsync(2 * watchMilliseconds);
  return call;
}

function createServer(id: string): BackendServerRecord {
  return createRecord({id, address: `${id}:80`});
}

/** A request of a router that knows nothing. */
function createRequest(fields: Partial<WatchRequest> = {}): WatchRequest {
  return {
    router: 'r-1',
    address: '10.0.0.1:1',
    configurationVersion: 0,
    epoch: '',
    revision: -1,
    peersRevision: -1,
    limits: [createLimit()],
    ...fields,
  };
}

/** A request of a router that lacks nothing of an empty directory. */
function createCurrentRequest(
  fields: Partial<WatchRequest> = {},
): WatchRequest {
  return createRequest({epoch: 'epoch', revision: 0, limits: [], ...fields});
}

function createLimit(): LimitReport {
  return {
    server: 's-1',
    service: 'llm',
    startedAt: 1,
    demand: 5,
    share: 0.3,
    lease: 'of a former leader',
    observation: {perSecond: 2, ageMilliseconds: 40},
  };
}

describe('the limits in a reply', () => {
  // Guards against a new leader that withdraws the leases of its predecessor,
  // and leases nothing instead until these have ended.
  it('renew the lease of a former leader', async () => {
    const {service} = createService();
    const reply = await watchOnce(service, createRequest());
    expect(reply).toMatchObject({
      limits: [
        {server: 's-1', observation: {perSecond: 2}, lease: {share: 0.3}},
      ],
    });
  });

  it('are missing where another leader may have been elected', () => {
    const {topic} = createService({leadsWithQuorum: false});
    topic.record(createRequest());
    expect(topic.notice(createRequest())).toEqual({});
  });
});

describe('a leader that has lost its majority', () => {
  // Guards against routers that follow a leader which was cut off or frozen, and
  // that is not told what its successor acknowledges.
  it('gives no update', async () => {
    const {service} = createService({leadsWithQuorum: false});
    const reply = await watchOnce(service, createRequest());
    expect(reply.kind).toBe('notLeader');
  });

  it('gives none either if it loses it while a call waits', async () => {
    const {service, leadership} = createService();
    const call = track(service.watch(createCurrentRequest()));
    await vi.advanceTimersByTimeAsync(watchMilliseconds / 2);
    leadership.leadsWithQuorum = false;
    await vi.advanceTimersByTimeAsync(20);
    expect(call.reply?.kind).toBe('notLeader');
  });
});

describe('a leader that has not applied an entry of its term', () => {
  // Guards against the state of a snapshot in the replies after a restart of all
  // processes.
  it('gives no update', async () => {
    const {service} = createService({confirmationAge: undefined});
    const reply = await watchOnce(service, createRequest());
    expect(reply).toMatchObject({kind: 'notLeader', configurationVersion: 0});
  });

  it('gives one as soon as it has', async () => {
    const {service, leadership} = createService({confirmationAge: undefined});
    const call = track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(40);
    expect(call.reply).toBeUndefined();
    leadership.confirmationAge = 0;
    await vi.advanceTimersByTimeAsync(20);
    expect(call.reply?.kind).toBe('update');
  });
});

describe('the view in a reply', () => {
  it('has the versions and the last confirmation before the request', async () => {
    const {service, directory} = createService({confirmationAge: 20.5});
    directory.leave('s-0', 0, 1);
    directory.announce(createRecord(), 0);
    const reply = await watchOnce(service, createRequest());
    expect(reply).toMatchObject({
      view: {
        term: 7,
        configurationVersion: 0,
        epoch: 'epoch',
        revision: 2,
        departureRevision: 1,
        confirmedMilliseconds: -21,
      },
    });
  });

  it('counts from the receipt of a request that waits', async () => {
    const {service} = createService({confirmationAge: 20});
    const reply = await watchOnce(service, createCurrentRequest());
    expect(reply).toHaveProperty(
      'view.confirmedMilliseconds',
      watchMilliseconds - 20,
    );
  });
});

describe('the addresses of the routers', () => {
  // Guards against routers that give up their peers, which lend them tokens, as a
  // new leader has not heard of these yet.
  it('are missing until a new leader has heard of all routers', async () => {
    const {service} = createService();
    const request = createCurrentRequest({waitMilliseconds: 0});
    const early = await watchOnce(service, request);
    expect(early).toHaveProperty('peers', undefined);
    const late = await watchOnce(service, request);
    expect(late).toHaveProperty('peers', ['10.0.0.1:1']);
  });

  it('are those known so far for a router that knows none', async () => {
    const {service} = createService();
    const reply = await service.watch(createRequest());
    expect(reply).toHaveProperty('peers', ['10.0.0.1:1']);
    service.noteRouter({router: 'r-2', address: '10.0.0.2:1'});
    const request = createCurrentRequest({peersRevision: 1});
    const next = await watchOnce(service, request);
    expect(next).toHaveProperty('peers', ['10.0.0.1:1', '10.0.0.2:1']);
  });
});

describe('a watch call', () => {
  it('waits as long as the router allows', async () => {
    const {service} = createService();
    const request = createCurrentRequest({waitMilliseconds: 100});
    const call = track(service.watch(request));
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    expect(call.milliseconds).toBe(100);
  });

  // Guards against a busy link that carries the same changes many times beside
  // each other.
  it('is not sent the same changes at once again', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    const first = track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(100);
    const second = track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    expect(first.milliseconds).toBe(0);
    expect(second.milliseconds).toBe(300);
    expect(second.reply).toHaveProperty('directory.records.0.id', 's-1');
  });

  it('is not either where the router can not wait', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(100);
    const again = track(service.watch(createRequest({waitMilliseconds: 0})));
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    expect(again.milliseconds).toBe(300);
  });

  it('is sent newer changes at once', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(100);
    const second = track(service.watch(createRequest()));
    await vi.advanceTimersByTimeAsync(50);
    directory.announce(createServer('s-2'), 0);
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    expect(second.milliseconds).toBeLessThan(70);
    expect(second.reply).toHaveProperty('directory.records.1.id', 's-2');
  });
});

// Guards against copies of a large change for each call of a router that a partition
// held up, which fill its link and that of the leader (issue 49).
describe('several calls of a router at once', () => {
  it('get one reply with changes while it is on its way', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    const contexts = [1, 2, 3].map(() => new CallContext());
    const calls = contexts.map(one =>
      track(service.watch(createRequest(), one)),
    );
    await vi.advanceTimersByTimeAsync(500);
    expect(calls.filter(({reply}) => reply !== undefined)).toHaveLength(1);
  });

  it('get no changes that a later call shows it to have', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    const contexts = [1, 2, 3].map(() => new CallContext());
    const calls = contexts.map(one =>
      track(service.watch(createRequest(), one)),
    );
    await vi.advanceTimersByTimeAsync(50);
    contexts[0]!.end();
    void service.watch(createCurrentRequest({revision: 1}));
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    for (const {reply} of calls.slice(1)) {
      expect(reply).toMatchObject({kind: 'update', directory: undefined});
    }
  });

  it('get a reply each where the first caller is gone', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    const gone = new CallContext();
    void service.watch(createRequest(), gone);
    gone.end();
    await vi.advanceTimersByTimeAsync(1);
    const next = track(service.watch(createRequest(), new CallContext()));
    await vi.advanceTimersByTimeAsync(watchMilliseconds);
    expect(next.milliseconds).toBeLessThanOrEqual(400);
    expect(next.reply).toHaveProperty('directory.records.0.id', 's-1');
  });
});

// Guards against a change that is written anew for each router (issue 49).
describe('the changes for many routers', () => {
  it('are one object', async () => {
    const {service, directory} = createService();
    directory.announce(createRecord(), 0);
    const names = ['r-1', 'r-2', 'r-3'];
    const replies = await Promise.all(
      names.map(router =>
        watchOnce(service, createRequest({router, address: `${router}:1`})),
      ),
    );
    const updates = replies.map(reply => reply as WatchUpdate);
    expect(new Set(updates.map(update => update.directory)).size).toBe(1);
  });
});
