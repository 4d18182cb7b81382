/**
 * @fileoverview Shares read barriers between linearizable reads.
 */

/**
 * Batches reads that arrive during a barrier into the next one. A read never
 * joins a barrier that started before it, since that barrier may miss entries
 * that were committed when the read started.
 */
export class BarrierQueue {
  private current: Promise<void> | undefined;
  private next: Promise<void> | undefined;

  /** @param barrier Resolves once the local state is safe to read. */
  constructor(private readonly barrier: () => Promise<unknown>) {}

  /** Resolves once a barrier that started after this call has completed. */
  wait(): Promise<void> {
    if (this.current === undefined) return this.startBarrier();
    this.next ??= this.current
      .catch(() => undefined)
      .then(() => {
        this.next = undefined;
        return this.startBarrier();
      });
    return this.next;
  }

  private startBarrier(): Promise<void> {
    const current = this.barrier().then(() => undefined);
    this.current = current;
    const clear = () => {
      if (this.current === current) this.current = undefined;
    };
    current.then(clear, clear);
    return current;
  }
}
