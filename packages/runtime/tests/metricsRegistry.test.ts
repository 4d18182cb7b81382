/** @fileoverview What a registry renders. */
import {describe, expect, it} from 'vitest';

import {MetricsRegistry, registerMemoryGauges} from '../src/index.js';

describe('a registry', () => {
  it('reads a gauge each time that it is rendered', () => {
    const metrics = new MetricsRegistry();
    let value = 1;
    metrics.gauge('open', 'Open requests.', () => value++);
    const head = '# HELP open Open requests.\n# TYPE open gauge\n';
    expect(metrics.render()).toBe(`${head}open 1\n`);
    expect(metrics.render()).toBe(`${head}open 2\n`);
  });

  it('tells the use of the heap and its limit', () => {
    const metrics = new MetricsRegistry();
    registerMemoryGauges(metrics);
    const read = (name: string) =>
      Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(metrics.render())?.[1]);
    const used = read('dogwoodtrestle_heap_used_bytes');
    expect(used).toBeGreaterThan(0);
    expect(read('dogwoodtrestle_heap_limit_bytes')).toBeGreaterThan(used);
  });
});
