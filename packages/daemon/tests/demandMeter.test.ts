import {expect, it} from 'vitest';

import {DemandMeter} from '../src/grants/demandMeter.js';

it('measures the largest request by reservation, and spending by cost', () => {
  const meter = new DemandMeter(0);
  meter.observe(60, 600, 0);
  expect(meter.largestRequest(0)).toBe(600);
  expect(meter.perSecond(0)).toBe(1);
});
