/**
 * @fileoverview What a handler knows of the call that it handles, besides its
 * message: when its reply is on its way, and whether the caller still waits.
 */

/** Result of a reply. Times are in milliseconds. */
export interface ReplyRecord {
  method: string;
  /** Length of the body as it was sent. */
  bytes: number;
  /** From the end of the request until the reply was handed over. */
  milliseconds: number;
  /** Whether the caller's connection took the whole reply. */
  isSent: boolean;
}

/** One call at the process that handles it. */
export class CallContext {
  private listeners: Array<() => void> = [];
  private isOver = false;

  /** Whether the reply was handed over, or the caller's connection has ended. */
  get hasEnded(): boolean {
    return this.isOver;
  }

  /** Calls back once the call has ended; at once if it has. */
  onEnd(callback: () => void): void {
    if (this.isOver) callback();
    else this.listeners.push(callback);
  }

  /** Ends the call. */
  end(): void {
    if (this.isOver) return;
    this.isOver = true;
    for (const callback of this.listeners.splice(0)) callback();
  }
}
