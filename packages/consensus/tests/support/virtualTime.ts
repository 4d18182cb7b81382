/** Time and random numbers that a test controls. */
interface Timer {
  at: number;
  callback: () => void;
}

export class VirtualTime {
  now = 0;
  private timers: Timer[] = [];

  /** Calls back after a delay in milliseconds; returns the cancellation. */
  schedule(delay: number, callback: () => void): () => void {
    const timer = {at: this.now + delay, callback};
    const later = this.timers.findIndex(other => other.at > timer.at);
    this.timers.splice(later < 0 ? this.timers.length : later, 0, timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  async run(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    await settle();
    while ((this.timers[0]?.at ?? Infinity) <= end) {
      const timer = this.timers.shift()!;
      this.now = timer.at;
      timer.callback();
      await settle();
    }
    this.now = end;
  }
}

/** Lets all promises that can go on do so. */
export function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** A generator of numbers from 0 up to 1 (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}
