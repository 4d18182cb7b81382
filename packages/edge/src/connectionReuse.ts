/**
 * @fileoverview Whether the connections to a backend server are used for more than
 * one request.
 *
 * A server that has sent bytes that no request waited for may do so again, at any
 * time: on a connection that is used again they come in place of the next response,
 * or inside one that only a close delimits. So a server that has given a response no
 * length counts as well. For some time each request then has a connection of its own, and for longer each
 * time that this was too short.
 */

/** Options of the reuse of connections. */
export interface ConnectionReuseOptions {
  /** Time without reuse after the first occurrence. */
  pauseMilliseconds: number;
  /** Limit of that time, and how long it is remembered. */
  maxPauseMilliseconds: number;
}

export const defaultConnectionReuseOptions: ConnectionReuseOptions = {
  pauseMilliseconds: 10_000,
  maxPauseMilliseconds: 300_000,
};

/** Reuse of the connections to one incarnation. Times are monotonic. */
export class ConnectionReuse {
  private readonly options: ConnectionReuseOptions;
  private pausedUntil = -Infinity;
  private pauseMilliseconds = 0;

  constructor(options: Partial<ConnectionReuseOptions> = {}) {
    this.options = {...defaultConnectionReuseOptions, ...options};
  }

  isAllowed(now: number): boolean {
    return now >= this.pausedUntil;
  }

  /** Pauses the reuse, as bytes came that no request waited for. */
  pause(now: number): void {
    const {pauseMilliseconds, maxPauseMilliseconds} = this.options;
    if (this.isAllowed(now)) {
      const isRecent = now - this.pausedUntil < maxPauseMilliseconds;
      this.pauseMilliseconds = isRecent
        ? Math.min(2 * this.pauseMilliseconds, maxPauseMilliseconds)
        : pauseMilliseconds;
    }
    this.pausedUntil = now + this.pauseMilliseconds;
  }
}
