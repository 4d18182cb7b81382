import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {emptyPrepaidState, recordUsage, ungranted} from '../src/index.js';
import {
  type Clocks,
  correctClocks,
  createRouter,
  type MessageInTransit,
  prepaid,
  recordEnd,
  report,
  returnedAfterPowerLoss,
  type RouterFixture,
  sendReport,
  workspace,
} from './support/prepaidRouters.js';

const action = fc.oneof(
  fc.record({
    kind: fc.constant('request' as const),
    router: fc.nat(2),
    tokens: fc.integer({min: 1, max: 20_000}),
  }),
  fc.record({
    kind: fc.constant('end' as const),
    router: fc.nat(2),
    share: fc.double({min: 0, max: 1, noNaN: true}),
  }),
  fc.record({
    kind: fc.constant('report' as const),
    router: fc.nat(2),
    delivery: fc.constantFrom(
      'whole' as const,
      'whole' as const,
      'replyLost' as const,
      'requestLost' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('slowReport' as const),
    router: fc.nat(2),
    aheadMilliseconds: fc.nat(3_000),
  }),
  fc.record({kind: fc.constant('deliver' as const), message: fc.nat(20)}),
  fc.record({kind: fc.constant('deliver' as const), message: fc.nat(20)}),
  fc.record({kind: fc.constant('kill' as const), router: fc.nat(2)}),
  fc.record({
    kind: fc.constant('killAndDetect' as const),
    router: fc.nat(2),
    detectMilliseconds: fc.nat(2_000),
    downMilliseconds: fc.integer({min: 1, max: 3_000}),
  }),
  fc.record({
    kind: fc.constant('losePower' as const),
    router: fc.nat(2),
    downMilliseconds: fc.integer({min: 1, max: 3_000}),
  }),
  fc.record({kind: fc.constant('changeLeader' as const), router: fc.nat(2)}),
  fc.record({
    kind: fc.constant('setBack' as const),
    router: fc.nat(2),
    milliseconds: fc.integer({min: 1, max: 3_000}),
  }),
  fc.record({
    kind: fc.constant('loan' as const),
    router: fc.nat(2),
    from: fc.nat(2),
    tokens: fc.integer({min: 1, max: 20_000}),
    wished: fc.integer({min: 1, max: 20_000}),
    isPartial: fc.boolean(),
    isLost: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    milliseconds: fc.integer({min: 1, max: 4_000}),
  }),
);

describe('prepaid totals', () => {
  // Guards against double spending also by replies that come late or overtake
  // each other (issue 37).
  it('are never exceeded when messages are lost and routers fail', () => {
    fc.assert(
      fc.property(
        fc.array(action, {minLength: 40, maxLength: 200}),
        // Wall clocks of the instances or of the leader may be set back, not both.
        fc.constantFrom('none', 'instances', 'leader'),
        (actions, wrongClocks) => {
          const clocks: Clocks = {...correctClocks, instances: {}};
          let boots = 1;
          let leaders = 1;
          const state = emptyPrepaidState();
          let now = 1_000;
          let incarnation = 0;
          let used = 0;
          const routers = ['a', 'b', 'c'].map(name =>
            createRouter(name, incarnation, now),
          );
          /** Messages that are slow, and may overtake each other. */
          const inTransit: MessageInTransit[] = [];
          const endAll = (router: RouterFixture) => {
            // Open requests of a dead router may have used all reserved tokens.
            for (const {tokens} of router.open) used += tokens;
          };
          for (const step of actions) {
            now += 1;
            if (step.kind === 'wait') {
              now += step.milliseconds;
              continue;
            }
            if (step.kind === 'deliver') {
              const index = step.message % Math.max(1, inTransit.length);
              const [message] = inTransit.splice(index, 1);
              const reply = message?.deliver(now);
              if (reply !== undefined) inTransit.push(reply);
              continue;
            }
            const router = routers[step.router]!;
            if (step.kind === 'slowReport') {
              const {aheadMilliseconds} = step;
              const options = {clocks, aheadMilliseconds};
              inTransit.push(sendReport(state, router, now, options));
            } else if (step.kind === 'request') {
              const reservation = router.grants.reserve(
                workspace,
                step.tokens,
                now,
              );
              if (reservation !== undefined) router.open.push(reservation);
              else router.grants.want(workspace, step.tokens);
              if (reservation === undefined) {
                report(state, router, now, 'whole', 20_000, clocks);
                router.grants.want(workspace, -step.tokens);
              }
            } else if (step.kind === 'end') {
              const reservation = router.open.shift();
              if (reservation === undefined) continue;
              const tokens = Math.ceil(reservation.tokens * step.share);
              used += tokens;
              router.grants.settle(reservation, tokens);
            } else if (step.kind === 'report') {
              report(state, router, now, step.delivery, 20_000, clocks);
            } else if (step.kind === 'loan') {
              const lender = routers[step.from]!;
              const {tokens, wished} = step;
              const terms = {
                workspace,
                tokens,
                wished: Math.max(tokens, wished),
                isPartial: step.isPartial,
              };
              const lent = lender.grants.lend(terms, now);
              if (!step.isLost) router.grants.borrow(workspace, lent);
            } else if (step.kind === 'changeLeader') {
              clocks.leaderName = `leader-${++leaders}`;
            } else if (step.kind === 'setBack') {
              const {instance} = router;
              const {milliseconds} = step;
              if (wrongClocks === 'leader') clocks.leader += milliseconds;
              if (wrongClocks !== 'instances') continue;
              clocks.instances[instance] =
                (clocks.instances[instance] ?? 0) + milliseconds;
            } else {
              endAll(router);
              if (step.kind === 'losePower') {
                // What its instance has not yet sent is lost.
                const others = inTransit.filter(one => one.router !== router);
                inTransit.splice(0, inTransit.length, ...others);
              }
              if (step.kind === 'killAndDetect') {
                now += step.detectMilliseconds;
                recordEnd(state, router, now, clocks);
              }
              now += step.kind === 'kill' ? 1 : step.downMilliseconds;
              const boot =
                step.kind === 'losePower' ? `boot-${++boots}` : router.boot;
              const {instance} = router;
              const options = {boot, clocks};
              const next = createRouter(instance, ++incarnation, now, options);
              routers[step.router] = next;
              report(state, next, now, 'whole', 20_000, clocks);
            }
          }
          for (const router of routers) endAll(router);
          expect(used).toBeLessThanOrEqual(prepaid);
        },
      ),
      {numRuns: 1_000, seed: 20261204},
    );
  });

  // Guards against a running router that spends nothing more, as the first
  // report of the process before it comes after its own (issue 37).
  it('end no incarnation by a late report of the one before it', () => {
    const state = emptyPrepaidState();
    const late = sendReport(state, createRouter('a', 0, 1_000), 1_000);
    const running = createRouter('a', 1, 2_000);
    report(state, running, 2_000, 'whole');
    late.deliver(2_100);
    expect(state.routers['a/1']?.isOver).toBe(false);
    expect(state.routers['a/0']?.isOver).toBe(true);
  });

  it('report an incarnation that spends after it was replaced', () => {
    const state = emptyPrepaidState();
    const incarnation = (startedAt: number) => ({
      instance: 'a',
      clock: 'boot-1',
      startedAt,
    });
    const entry = {
      workspace,
      used: 0,
      lent: 0,
      borrowed: 0,
      returned: 0,
      committed: 0,
      cover: 40_000,
      paced: 40_000,
      grantUpTo: 40_000,
    };
    const record = (router: string, at: number, used: number) =>
      recordUsage(
        state,
        {
          kind: 'recordUsage',
          router,
          life: incarnation(router === 'old' ? 1_000 : 2_000),
          reportedAt: at,
          entries: [{...entry, used, committed: used}],
        },
        () => prepaid,
        at,
      ).breaches;
    expect(record('old', 1_500, 0)).toEqual([]);
    expect(record('new', 2_000, 0)).toEqual([]);
    // By its spending limit it can't have spent more than 2,500 tokens by 2,000.
    expect(record('old', 2_100, 2_000)).toEqual([]);
    expect(record('old', 2_200, 39_000)).toEqual([
      {workspace, router: 'old', isOver: true, excess: expect.any(Number)},
    ]);
  });

  it('get back what an incarnation that ended soon can not have spent', () => {
    const state = emptyPrepaidState();
    const router = createRouter('a', 0, 1_000);
    router.grants.want(workspace, 1_000);
    report(state, router, 1_000, 'whole', 40_000);
    router.grants.want(workspace, -1_000);
    report(state, router, 1_200, 'whole', 40_000);
    const before = ungranted(state.accounts[workspace], prepaid);
    report(state, createRouter('a', 1, 1_700), 1_700, 'whole');
    // The tokens of one long prompt may have been spent unreported.
    const after = ungranted(state.accounts[workspace], prepaid);
    expect(after - before).toBeGreaterThan(20_000);
  });

  // Guards against a forfeit of which nobody can tell whether requests under way,
  // waiting ones, or the spending limit made it (issue 52).
  it('tell what forfeited tokens may have been spent on', () => {
    const state = emptyPrepaidState();
    const record = (router: string, startedAt: number) =>
      recordUsage(
        state,
        {
          kind: 'recordUsage',
          router,
          life: {instance: 'a', clock: 'boot-1', startedAt},
          reportedAt: startedAt,
          entries: [
            {
              workspace,
              used: 100,
              lent: 0,
              borrowed: 0,
              returned: 0,
              committed: 1_300,
              waiting: 200,
              cover: 40_000,
              grantUpTo: 41_300,
            },
          ],
        },
        () => prepaid,
        startedAt,
      ).ended;
    record('old', 1_000);
    const [ended] = record('new', 1_500);
    const {forfeited, causes} = ended!;
    expect(causes).toMatchObject({underWay: 1_000, waiting: 200});
    const all = causes.underWay + causes.waiting + causes.window;
    expect(all).toBe(forfeited[workspace]);
  });

  // Guards against grants that are permanently forfeited by a power loss (issue
  // 18).
  it('get back what can not have been spent before the power returned', () => {
    expect(returnedAfterPowerLoss()).toBeGreaterThan(20_000);
  });

  // Guards against counting the search for a leader as time in which the ended
  // incarnation may have spent tokens (issue 18).
  it('get back as much when the new incarnation finds a leader late', () => {
    const late = returnedAfterPowerLoss({searchMilliseconds: 3_000});
    expect(late).toBe(returnedAfterPowerLoss());
  });

  // Guards against a monotonic clock that keeps its id over a power loss but not
  // its reading, by which half of the grants were forfeited (issue 18).
  it('get it back when the monotonic clock jumped under the same id', () => {
    const jump = {boot: 'boot-1', jumpMilliseconds: 9_000_000};
    expect(returnedAfterPowerLoss(jump)).toBeGreaterThan(20_000);
  });

  it.each<[string, Partial<Clocks>]>([
    ['of the instance', {instances: {a: 5_000}}],
    ['of the leader', {leader: 5_000}],
  ])('get nothing back when the wall clock %s was set back', (_, fault) => {
    // The power returns after a time in which everything may have been spent.
    expect(returnedAfterPowerLoss({downMilliseconds: 6_000, fault})).toBe(0);
  });

  it('get nothing back when the monotonic clock started anew', () => {
    const state = emptyPrepaidState();
    const router = createRouter('a', 0, 50_000);
    router.grants.want(workspace, 1_000);
    report(state, router, 50_000, 'whole');
    const before = ungranted(state.accounts[workspace], prepaid);
    report(state, createRouter('a', 1, 300), 300, 'whole');
    expect(ungranted(state.accounts[workspace], prepaid)).toBe(before);
  });
});
