import {silentLogger} from '@dogwoodtrestle/runtime';
import {describe, expect, it} from 'vitest';

import {
  AdmissionController,
  type EventLoopTimes,
} from '../src/admissionController.js';

/** A loop whose activity the test tells. */
function createLoop() {
  const reading: EventLoopTimes = {active: 0, idle: 0};
  const lines: Array<object & {message: string}> = [];
  const admission = new AdmissionController({
    logger: {
      ...silentLogger,
      info: (fields, message) => lines.push({...fields, message}),
    },
    readEventLoopTimes: () => ({...reading}),
  });
  const pass = (active: number, idle: number) => {
    reading.active += active;
    reading.idle += idle;
  };
  return {admission, pass, lines};
}

function takeMany(admission: AdmissionController, count: number) {
  return Array.from({length: count}, () => admission.admit('w')).filter(
    release => release !== undefined,
  );
}

const seconds = 20;

/** Passes seconds with a utilization, sampled as requests come. */
function passSeconds(
  {admission, pass}: ReturnType<typeof createLoop>,
  utilization: number,
): void {
  for (let sample = 0; sample < seconds * 10; sample++) {
    pass(utilization * 100, (1 - utilization) * 100);
    admission.admit('probe')?.();
  }
}

describe('Admission', () => {
  it('takes whatever comes while the loop has time', () => {
    const loop = createLoop();
    passSeconds(loop, 0.3);
    expect(takeMany(loop.admission, 500)).toHaveLength(500);
    expect(loop.lines).toEqual([]);
  });

  it('refuses at once while the loop is behind, and says with what', () => {
    const loop = createLoop();
    takeMany(loop.admission, 100);
    passSeconds(loop, 1);
    expect(loop.admission.admit('w')).toBeUndefined();
    expect(loop.lines).toMatchObject([
      {open: 100, limit: 85, utilization: expect.any(Number)},
    ]);
  });

  it('takes requests again once others have ended', () => {
    const loop = createLoop();
    const open = takeMany(loop.admission, 100);
    passSeconds(loop, 1);
    for (const release of open.slice(0, 60)) release();
    expect(loop.admission.admit('w')).toBeDefined();
  });
});
