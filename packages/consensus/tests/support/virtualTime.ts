/**
 * @fileoverview Virtual time and seeded random numbers for tests.
 */
/** Callback that is due at a time in milliseconds. */
interface Timer {
  at: number;
  callback: () => void;
}

/** Virtual clock in milliseconds that advances only in `run`. */
export class VirtualTime {
  now = 0;
  private timers: Timer[] = [];

  /**
   * Calls back after a delay in ms; returns a function that cancels the timer.
   */
  schedule(delay: number, callback: () => void): () => void {
    const timer = {at: this.now + delay, callback};
    const insertIndex = this.timers.findIndex(other => other.at > timer.at);
    this.timers.splice(
      insertIndex < 0 ? this.timers.length : insertIndex,
      0,
      timer,
    );
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** Advances the time and runs all timers that become due. */
  async run(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    await flushPromises();
    while ((this.timers[0]?.at ?? Infinity) <= end) {
      const timer = this.timers.shift()!;
      this.now = timer.at;
      timer.callback();
      await flushPromises();
    }
    this.now = end;
  }
}

/** Resolves once all promise callbacks that are ready have run. */
export function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Returns a generator of numbers in the range [0, 1) (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}
