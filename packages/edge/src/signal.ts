/** @fileoverview An event that occurs again and again, and can be waited for. */
import {type Clock} from '@dogwoodtrestle/runtime';

/** An event. */
export class Signal {
  private emitted = 0;
  private readonly listeners = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** How often it has occurred. */
  get count(): number {
    return this.emitted;
  }

  /** Lets all that wait go on. */
  emit(): void {
    this.emitted++;
    for (const listener of [...this.listeners]) listener();
  }

  /**
   * Resolves when it occurs, when a promise is settled, or after a time. A
   * rejection of the promise is the owner's to handle.
   */
  within(milliseconds: number, promise?: Promise<unknown>): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        cancel();
        this.listeners.delete(end);
        resolve();
      };
      const cancel = this.clock.setTimer(milliseconds, end);
      this.listeners.add(end);
      promise?.then(end, end);
    });
  }
}
