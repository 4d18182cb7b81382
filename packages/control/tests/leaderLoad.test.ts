/** @fileoverview Tests what a leader logs of its load. */
import {
  type Clock,
  type Logger,
  MetricsRegistry,
  silentLogger,
} from '@dogwoodtrestle/runtime';
import {describe, expect, it} from 'vitest';

import {LeaderLoad} from '../src/leaderLoad.js';

const quiet = {
  isLeader: true,
  term: 3,
  connections: {open: 9, accepted: 12},
  waitingCalls: 2,
  waitingDeliveries: 0,
  routersBehind: 0,
};

function createLoad() {
  const lines: object[] = [];
  const logger: Logger = {...silentLogger, info: line => lines.push(line)};
  let now = 0;
  const timers: Array<() => void> = [];
  const clock: Clock = {
    now: () => now,
    wallNow: () => now,
    setTimer: (_, run) => {
      timers.push(run);
      return () => undefined;
    },
  };
  const load = new LeaderLoad({clock, logger, metrics: new MetricsRegistry()});
  const runTimers = (milliseconds: number) => {
    now += milliseconds;
    for (const run of timers.splice(0)) run();
  };
  return {load, lines, runTimers};
}

// Guards against an incident in which a busy processor, a busy link and routers
// that call elsewhere look alike (issue 49).
describe('the load of a leader', () => {
  it('is logged while routers lack a change', () => {
    const {load, lines} = createLoad();
    const reply = {method: 'watch', bytes: 4_000, milliseconds: 120};
    load.record({...reply, isSent: true});
    load.record({...reply, isSent: false});
    load.report({...quiet, routersBehind: 7});
    const watch = {
      replies: 1,
      kilobytes: 4,
      slowestMilliseconds: 120,
      abandoned: 1,
    };
    expect(lines).toMatchObject([{routersBehind: 7, methods: {watch}}]);
    load.report({...quiet, routersBehind: 7});
    expect(lines).toMatchObject([
      {openConnections: 9, newConnections: 12},
      {openConnections: 9, newConnections: 0, methods: {}},
    ]);
  });

  it('is logged while the event loop is late', () => {
    const {load, lines, runTimers} = createLoad();
    load.start();
    runTimers(150);
    load.report(quiet);
    expect(lines).toEqual([]);
    runTimers(450);
    load.report(quiet);
    expect(lines).toMatchObject([{eventLoopMilliseconds: 350}]);
  });
});
