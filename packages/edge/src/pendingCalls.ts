/**
 * @fileoverview Calls to control processes that have no reply yet.
 *
 * A slow reply counts, so a call isn't ended to make room for another one. It is
 * ended once the reply to a later call shows that its own is lost.
 */

/**
 * Time after which a call is given up. Without a reply within shorter timeouts
 * others are called as well, but a late reply counts: on a busy link each one is
 * late.
 */
export const callLimitMilliseconds = 6_000;

/** One call. Times are monotonic, in milliseconds. */
export interface PendingCall {
  readonly address: string;
  readonly sentAt: number;
  /** Longest time for which the reply may be delayed on purpose. */
  readonly waitMilliseconds: number;
  readonly controller: AbortController;
}

/** Calls without a reply, in the order of their sending. */
export class PendingCalls {
  private readonly calls = new Set<PendingCall>();

  /** @param maxPerAddress Calls to one process beyond which none is added. */
  constructor(private readonly maxPerAddress: number) {}

  /** Adds a call; undefined if there are too many to its address. */
  add(call: Omit<PendingCall, 'controller'>): PendingCall | undefined {
    if (this.to(call.address).length >= this.maxPerAddress) return undefined;
    const added = {...call, controller: new AbortController()};
    this.calls.add(added);
    return added;
  }

  /** Removes a call that has ended. */
  remove(call: PendingCall): void {
    this.calls.delete(call);
  }

  /** Returns when the newest call to an address was sent; -Infinity for none. */
  newestSentAt(address: string): number {
    return this.to(address).at(-1)?.sentAt ?? -Infinity;
  }

  /** Returns the number of calls to an address. */
  countTo(address: string): number {
    return this.to(address).length;
  }

  /** Ends the calls to an address but for the oldest ones. */
  endAllBut(count: number, address: string): void {
    for (const call of this.to(address).slice(count)) this.end(call);
  }

  /** Ends the calls to an address that were sent before a time. */
  endSentBefore(address: string, time: number): void {
    for (const call of this.to(address)) {
      if (call.sentAt < time) this.end(call);
    }
  }

  /** Ends the calls whose replies were due before an answered one was sent. */
  endLost({address, sentAt}: PendingCall): void {
    for (const call of this.to(address)) {
      if (call.sentAt + call.waitMilliseconds < sentAt) this.end(call);
    }
  }

  private end(call: PendingCall): void {
    this.calls.delete(call);
    call.controller.abort();
  }

  private to(address: string): PendingCall[] {
    return [...this.calls].filter(call => call.address === address);
  }
}
