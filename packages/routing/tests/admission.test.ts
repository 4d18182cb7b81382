/** @fileoverview Tests of admission control. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  AdmissionController,
  admissionCapacity,
  type AdmissionOptions,
  type AdmissionRequest,
  type AdmissionTicket,
  priorities,
  type Priority,
} from '../src/index.js';
import {announcementOf, seededRandom} from './fixtures.js';

const serviceMilliseconds = 100;

const unlimitedWait = {
  urgent: Infinity,
  normal: Infinity,
  background: Infinity,
};

function controllerOf(
  options: Partial<AdmissionOptions> = {},
): AdmissionController {
  return new AdmissionController({
    capacity: 1,
    random: () => 0,
    maximumWaitMilliseconds: unlimitedWait,
    standingWaitMilliseconds: unlimitedWait,
    urgentReservedShare: 0,
    ...options,
  });
}

function requestOf(overrides: Partial<AdmissionRequest> = {}) {
  return {
    customer: 'desk',
    workspace: 'lots',
    priority: 'normal' as const,
    deadline: Infinity,
    now: 0,
    ...overrides,
  };
}

/** Returns a controller with one slot, which is taken, and one sample. */
function busyController(options: Partial<AdmissionOptions> = {}): {
  admission: AdmissionController;
  running: AdmissionTicket;
} {
  const admission = controllerOf(options);
  const first = admission.submit(requestOf());
  if (first.kind !== 'admitted') throw new Error('not admitted');
  admission.release(first.ticket, serviceMilliseconds);
  const second = admission.submit(requestOf());
  if (second.kind !== 'admitted') throw new Error('not admitted');
  return {admission, running: second.ticket};
}

/** Runs one request after another; returns their tickets in order. */
function serve(
  admission: AdmissionController,
  running: AdmissionTicket,
  count: number,
): AdmissionTicket[] {
  const served: AdmissionTicket[] = [];
  let current = running;
  for (let now = 0; served.length < count; now += serviceMilliseconds) {
    admission.release(current, now);
    const [next] = admission.dispatch(now).started;
    if (!next) break;
    served.push(next);
    current = next;
  }
  return served;
}

const customers = fc.constantFrom('a', 'b', 'c');

describe('AdmissionController', () => {
  it('never runs more than its capacity and loses no ticket', () => {
    const step = fc.record({
      customer: customers,
      priority: fc.constantFrom<Priority>(...priorities),
      patience: fc.integer({min: 1, max: 2_000}),
      leaves: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const admission = controllerOf({capacity: 3, maximumQueued: 5});
        const running: AdmissionTicket[] = [];
        let waiting = 0;
        steps.forEach(({customer, priority, patience, leaves}, index) => {
          const now = index * 20;
          const deadline = now + patience;
          const request = requestOf({customer, priority, deadline, now});
          const outcome = admission.submit(request);
          if (outcome.kind === 'admitted') running.push(outcome.ticket);
          if (outcome.kind === 'queued') waiting += 1;
          const left = leaves ? running.shift() : undefined;
          if (left) admission.release(left, now);
          const turn = admission.dispatch(now);
          running.push(...turn.started);
          waiting -= turn.started.length + turn.refused.length;
          expect(turn.started.every(each => each.deadline > now)).toBe(true);
          expect(admission.runningCount).toBe(running.length);
          expect(admission.queuedCount).toBe(waiting);
          expect(running.length).toBeLessThanOrEqual(3);
          expect(waiting).toBeLessThanOrEqual(5);
          expect(waiting === 0 || running.length === 3).toBe(true);
        });
      }),
      {seed: 63, numRuns: 300},
    );
  });

  it('gives backlogged customers the same number of starts', () => {
    fc.assert(
      fc.property(
        fc.array(customers, {minLength: 30, maxLength: 90}),
        order => {
          const {admission, running} = busyController();
          for (const customer of order) admission.submit(requestOf({customer}));
          const least = Math.min(
            ...['a', 'b', 'c'].map(
              each => order.filter(c => c === each).length,
            ),
          );
          const served = serve(admission, running, 3 * least);
          for (const customer of ['a', 'b', 'c']) {
            const starts = served.filter(({path}) => path[0] === customer);
            expect(starts).toHaveLength(least);
          }
        },
      ),
      {seed: 64, numRuns: 200},
    );
  });

  it('shares a customer’s starts between its workspaces', () => {
    const {admission, running} = busyController();
    for (let index = 0; index < 40; index += 1) {
      const workspace = index < 30 ? 'large' : 'small';
      admission.submit(requestOf({workspace}));
    }
    const served = serve(admission, running, 20);
    expect(served.filter(({path}) => path[1] === 'small')).toHaveLength(10);
  });

  it('starts urgent requests first and others by their minimum share', () => {
    const {admission, running} = busyController();
    for (const priority of [...priorities].reverse()) {
      for (let index = 0; index < 100; index += 1) {
        admission.submit(requestOf({priority}));
      }
    }
    const served = serve(admission, running, 100);
    const startsOf = (priority: Priority) =>
      served.filter(each => each.priority === priority).length;
    expect(served[0]?.priority).toBe('urgent');
    expect(startsOf('urgent')).toBeGreaterThanOrEqual(75);
    expect(startsOf('background')).toBeGreaterThanOrEqual(4);
    expect(startsOf('normal')).toBeGreaterThanOrEqual(15);
  });

  it.each([
    {name: 'in time', deadline: 450, kind: 'queued'},
    {name: 'too late', deadline: 350, kind: 'refused'},
  ])('returns $kind for a request that would start $name', each => {
    const {admission} = busyController();
    for (let index = 0; index < 3; index += 1) admission.submit(requestOf());
    const {deadline, kind} = each;
    expect(admission.submit(requestOf({deadline}))).toMatchObject({kind});
  });

  it('reserves slots for urgent requests', () => {
    const admission = controllerOf({capacity: 4, urgentReservedShare: 0.5});
    const kinds = (['normal', 'normal', 'normal', 'urgent'] as const).map(
      priority => admission.submit(requestOf({priority})).kind,
    );
    expect(kinds).toEqual(['admitted', 'admitted', 'queued', 'admitted']);
    expect(admission.dispatch(0).started).toEqual([]);
  });

  it.each([
    {name: 'queue', urgentArrivals: 3},
    {name: 'are admitted at once', urgentArrivals: 1},
  ])(
    'starves no priority when urgent requests that $name fill the reserve',
    ({urgentArrivals}) => {
      const admission = controllerOf({capacity: 4, urgentReservedShare: 0.5});
      const running: AdmissionTicket[] = [];
      const enter = (priority: Priority) => {
        const outcome = admission.submit(requestOf({priority}));
        if (outcome.kind === 'admitted') running.push(outcome.ticket);
        running.push(...admission.dispatch(0).started);
      };
      for (let index = 0; index < 4; index += 1) enter('urgent');
      enter('normal');
      enter('background');
      const started = new Set<Priority>();
      for (let round = 0; round < 100; round += 1) {
        const left = running.shift();
        if (left) admission.release(left, 0);
        for (let index = 0; index < urgentArrivals; index += 1) enter('urgent');
        for (const {priority} of running) started.add(priority);
      }
      expect([...started].sort()).toEqual(['background', 'normal', 'urgent']);
    },
  );

  it.each([
    {name: 'a burst', now: 999, kind: 'queued'},
    {name: 'a standing queue', now: 1_000, kind: 'refused'},
  ])('returns $kind for a wait of 500 ms in $name', ({now, kind}) => {
    const {admission} = busyController({
      maximumWaitMilliseconds: {...unlimitedWait, normal: 500},
      standingWaitMilliseconds: {...unlimitedWait, normal: 400},
      standingAfterMilliseconds: 1_000,
    });
    for (let index = 0; index < 4; index += 1) admission.submit(requestOf());
    expect(admission.submit(requestOf({now}))).toMatchObject({kind});
  });

  it('refuses a request whose deadline has passed even when idle', () => {
    const outcome = controllerOf().submit(requestOf({deadline: 5, now: 6}));
    expect(outcome).toMatchObject({reason: 'deadlineTooClose'});
  });

  it.each([
    {by: 'urgent', customer: 'desk', kind: 'queued', refused: ['shed']},
    {by: 'normal', customer: 'tents', kind: 'queued', refused: ['shed']},
    {by: 'normal', customer: 'desk', kind: 'refused', refused: []},
    {by: 'background', customer: 'tents', kind: 'refused', refused: []},
  ] as const)(
    'returns $kind for a $by request of $customer if the queue is full',
    ({by, customer, kind, refused}) => {
      const {admission} = busyController({maximumQueued: 4});
      for (let index = 0; index < 4; index += 1) admission.submit(requestOf());
      const outcome = admission.submit(requestOf({priority: by, customer}));
      expect(outcome.kind).toBe(kind);
      const reasons = admission.dispatch(0).refused.map(({reason}) => reason);
      expect(reasons).toEqual(refused);
    },
  );

  it('adds jitter to the retry times of refused callers', () => {
    const {admission} = busyController({
      maximumQueued: 0,
      random: seededRandom(1),
    });
    const times = [1, 2, 3].map(() => {
      const outcome = admission.submit(requestOf());
      return outcome.kind === 'refused' ? outcome.retryAfterMilliseconds : 0;
    });
    expect(new Set(times).size).toBe(3);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(500);
  });
});

describe('admissionCapacity', () => {
  const candidates = [0, 8].map((running, index) => ({
    announcement: announcementOf(`s${index}`, {load: {running, capacity: 16}}),
    observedAt: 0,
  }));
  const input = {
    candidates,
    loadCorrection: () => 0,
    running: 0,
    routerCount: 4,
  };
  it.each([
    {name: 'an equal share', change: {}, capacity: 8},
    {name: 'a share of the free slots', change: {running: 7}, capacity: 13},
    {
      name: 'less while local requests are not reported yet',
      change: {running: 7, loadCorrection: () => 4},
      capacity: 11,
    },
    {
      name: 'an equal share when all slots are taken',
      change: {running: 7, loadCorrection: () => 50},
      capacity: 8,
    },
    {name: 'at least one', change: {candidates: []}, capacity: 1},
  ])('gives $name', ({change, capacity}) => {
    const given = admissionCapacity({...input, ...change}, {headroom: 1});
    expect(given).toBe(capacity);
  });
});
