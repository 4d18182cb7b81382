/** @fileoverview Tests the order and the limit of replies with changes. */
import {systemClock} from '@dogwoodtrestle/runtime';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {DeliveryQueue, type StartedDelivery} from '../src/deliveryQueue.js';

const largeBytes = 500_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Starts replies of a length, and lists those that were started. */
function createDeliveries(count: number, bytes: number) {
  const queue = new DeliveryQueue(systemClock);
  const started: Array<{number: number; delivery: StartedDelivery}> = [];
  for (let number = 0; number < count; number++) {
    void queue.start().then(delivery => {
      delivery.addBytes(bytes);
      started.push({number, delivery});
    });
  }
  return {queue, started};
}

// Guards against a leader whose own messages wait behind replies to all routers,
// so that it is taken for lost and the next one meets the same herd (issue 49).
describe('replies with changes', () => {
  it('are all started soon if they are small', async () => {
    const {started, queue} = createDeliveries(400, 2_000);
    await vi.advanceTimersByTimeAsync(10);
    expect(started.map(({number}) => number)).toEqual([...Array(400).keys()]);
    expect(queue.waitingCount).toBe(0);
  });

  it('leave room between turns for other messages', async () => {
    const {started} = createDeliveries(400, 2_000);
    await vi.advanceTimersByTimeAsync(0);
    expect(started.length).toBeLessThanOrEqual(64);
  });

  it('wait in order while many bytes are on their way', async () => {
    const {started} = createDeliveries(400, largeBytes);
    await vi.advanceTimersByTimeAsync(100);
    const first = started.length;
    expect(first * largeBytes).toBeLessThan(64 * largeBytes + 1);
    expect(first).toBeLessThan(400);
    for (const {delivery} of started.slice(0, first)) delivery.end();
    await vi.advanceTimersByTimeAsync(2);
    expect(started.length).toBeGreaterThan(first);
    expect(started.map(({number}) => number)).toEqual([
      ...Array(started.length).keys(),
    ]);
  });

  it('go on past routers that are gone', async () => {
    const {started} = createDeliveries(200, largeBytes);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(started).toHaveLength(200);
  });
});
