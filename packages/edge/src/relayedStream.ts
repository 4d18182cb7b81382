/**
 * @fileoverview What a caller has received of a stream, and which servers may go
 * on with it.
 */
import {softwareVersionOf} from '@dogwoodtrestle/fleet';
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/** A stream as far as it was relayed to its caller. */
export class RelayedStream {
  private eventCount = 0;
  private newestEventId?: string;
  private version?: string;
  private beganAt?: number;

  /** Number of complete events. */
  get events(): number {
    return this.eventCount;
  }

  /** Id of the last event; undefined if there is none, or if it has no id. */
  get lastEventId(): string | undefined {
    return this.newestEventId;
  }

  /**
   * Version of the software that began the stream. What another one writes doesn't
   * fit to it, so only servers with this version may go on; any if undefined.
   */
  get softwareVersion(): string | undefined {
    return this.version;
  }

  /** Monotonic time of the first event, in milliseconds. */
  get firstEventAt(): number | undefined {
    return this.beganAt;
  }

  /** Whether another server can go on without repeating an event. */
  get mayGoOn(): boolean {
    return this.eventCount === 0 || this.newestEventId !== undefined;
  }

  /** Lets only servers of a software version go on; any if it is undefined. */
  restrictTo(softwareVersion: string | undefined): void {
    this.version = softwareVersion;
  }

  /** Records complete events of a server. Returns whether they are the first. */
  record(
    server: BackendServerRecord,
    {count, lastEventId}: {count: number; lastEventId?: string},
    now: number,
  ): boolean {
    const isFirst = this.eventCount === 0;
    this.beganAt ??= now;
    this.eventCount += count;
    this.newestEventId = lastEventId;
    this.version ??= softwareVersionOf(server);
    return isFirst;
  }
}
