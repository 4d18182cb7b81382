/**
 * @fileoverview The replicated table of the streams that servers have begun: the
 * version of the software that wrote the first event, by the caller's attempt.
 *
 * What two versions write doesn't fit together, and the router that knew a stream
 * may have ended with its memory. Entries are kept for as long as a caller may
 * take a stream up, and their number is bounded.
 */
import {type StreamRecord} from '@dogwoodtrestle/schema';

/**
 * Time for which a caller may take up a stream that has begun: several times the
 * longest deadline of the users' callers.
 */
export const streamLifetimeMilliseconds = 60_000;

/** Most streams that are remembered; the oldest ones are removed. */
export const maxRememberedStreams = 20_000;

/** What is known of a stream. */
export interface KnownStream {
  service: string;
  /** Missing if two versions were recorded for one attempt. */
  softwareVersion?: string;
  /** Time by the clock of whoever remembers it, in milliseconds. */
  recordedAt: number;
}

/** Streams by attempt, the oldest first. Times are in milliseconds of one clock. */
export class StreamVersions {
  private streams = new Map<string, KnownStream>();

  /** Records streams; an attempt with two versions or services is ambiguous. */
  record(streams: readonly StreamRecord[], now: number): void {
    for (const {attempt, service, softwareVersion} of streams) {
      const known = this.streams.get(attempt);
      if (known === undefined) {
        this.streams.set(attempt, {service, softwareVersion, recordedAt: now});
      } else if (
        known.softwareVersion !== softwareVersion ||
        known.service !== service
      ) {
        known.softwareVersion = undefined;
      }
    }
    this.removeOldest(now);
  }

  /** Returns a stream that is remembered. */
  find(attempt: string): KnownStream | undefined {
    return this.streams.get(attempt);
  }

  /** Returns all streams as JSON values, for `restore`. */
  snapshot(): Array<[string, KnownStream]> {
    return [...this.streams];
  }

  restore(streams: ReadonlyArray<[string, KnownStream]>): void {
    this.streams = new Map(streams);
  }

  private removeOldest(now: number): void {
    for (const [attempt, {recordedAt}] of this.streams) {
      const isOld = now - recordedAt > streamLifetimeMilliseconds;
      if (!isOld && this.streams.size <= maxRememberedStreams) return;
      this.streams.delete(attempt);
    }
  }
}
