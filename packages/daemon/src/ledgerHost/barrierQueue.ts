/**
 * @fileoverview Shares barriers between linearizable reads.
 */

/**
 * Joins reads that arrive while a barrier is under way into the next one. A
 * read never joins a barrier that began before it, since that one may miss
 * what had been committed when the read began.
 */
export class BarrierQueue {
  private current: Promise<void> | undefined;
  private next: Promise<void> | undefined;

  /** @param barrier Resolves once the local state is fresh enough to read. */
  constructor(private readonly barrier: () => Promise<unknown>) {}

  /** Resolves once a barrier that began after this call has completed. */
  wait(): Promise<void> {
    if (this.current === undefined) return this.begin();
    this.next ??= this.current
      .catch(() => undefined)
      .then(() => {
        this.next = undefined;
        return this.begin();
      });
    return this.next;
  }

  private begin(): Promise<void> {
    const current = this.barrier().then(() => undefined);
    this.current = current;
    const clear = () => {
      if (this.current === current) this.current = undefined;
    };
    current.then(clear, clear);
    return current;
  }
}
