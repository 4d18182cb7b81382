/**
 * @fileoverview Pattern: hundreds of routers report for many workspaces several
 * times a second, and leaders change.
 */
import {describe, expect, it} from 'vitest';

import {emptyPrepaidState, GrantPlanner, recordUsage} from '../src/index.js';

const prepaid = 1_000_000;

function createLeader(book = emptyPrepaidState()) {
  const routers: string[] = [];
  const planner = new GrantPlanner(
    {prepaid: book, prepaidOf: () => prepaid},
    () => routers,
  );
  const report = (router: string, now: number, fields = {}) => {
    const usage = {
      workspace: 'desk',
      used: 0,
      lent: 0,
      borrowed: 0,
      returned: 0,
      reserved: 0,
      wanted: 0,
      cover: 0,
      rate: 100,
      recentRate: 100,
      ...fields,
    };
    if (!routers.includes(router)) routers.push(router);
    planner.recordReport(router, [usage], now);
    const plan = planner.plan({router, address: router}, usage, false);
    recordUsage(
      book,
      {
        kind: 'recordUsage',
        router,
        life: {instance: router, clock: 'c', startedAt: 1},
        reportedAt: now,
        entries: [plan.entry],
      },
      () => prepaid,
      now,
    );
    return plan;
  };
  return {book, planner, report};
}

describe('GrantPlanner', () => {
  // Guards against 402 for what a total covers, from a leader that has not heard
  // of all routers yet.
  it('counts what routers hold that a new leader has not heard of yet', () => {
    const {book, report} = createLeader();
    for (let index = 0; index < 20; index++) report(`r${index}`, 1_000);
    const next = createLeader(book);
    next.report('r0', 1_600);
    expect(next.planner.remaining('desk')).toBe(prepaid);
  });

  it('counts a router out once it has not reported for a time', () => {
    const {planner, report} = createLeader();
    report('gone', 1_000);
    for (let now = 1_000; now <= 8_000; now += 500) report('live', now);
    const {held, unaccounted} = planner.summaryOf('desk');
    expect(unaccounted).toBeGreaterThan(0);
    expect(planner.remaining('desk')).toBe(prepaid - unaccounted);
    // Its demand is forgotten as well.
    expect(held).toBeLessThan(2 * 12 * 100);
  });

  it('takes a few microseconds for a usage, however many routers there are', () => {
    const secondsFor = (count: number) => {
      const {report} = createLeader();
      const names = Array.from({length: count}, (_, index) => `r${index}`);
      for (const name of names) report(name, 1_000);
      const reports = 4_000;
      const startedAt = process.cpuUsage().user;
      for (let index = 0; index < reports; index++) {
        report(names[index % count]!, 1_400 + index / 10);
      }
      return (process.cpuUsage().user - startedAt) / reports;
    };
    secondsFor(50); // Compiled by then.
    expect(secondsFor(400)).toBeLessThan(5 * secondsFor(50) + 20);
  });
});
