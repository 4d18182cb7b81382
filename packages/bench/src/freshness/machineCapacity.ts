/**
 * @fileoverview Processor and link of a machine in virtual time, and what messages
 * between processes take of them.
 */
import {type VirtualScheduler} from './virtualMachine.js';

/** Size of a machine. */
export interface MachineSize {
  /** Share of a core that is free for calls between processes. */
  cores: number;
  linkMegabitsPerSecond: number;
}

/** What a message takes. */
export interface MessageCost {
  /** Length as it is sent. */
  bytes: number;
  /** Bytes of JSON that the receiver reads. */
  jsonBytes: number;
  /** Bytes of JSON that are written for this message alone. */
  serializedBytes: number;
  /** Bytes that are compressed for this message alone. */
  compressedBytes: number;
}

/** Processor time of a whole core, in milliseconds a kilobyte. */
const kilobyteMilliseconds = {
  serialized: 0.0064,
  compressed: 0.0075,
  parsed: 0.0065,
};

/** Processor time of a whole core for each call, besides its bytes. */
const callMilliseconds = 0.4;

/** Bytes of a connection that may be on their way at once. */
export const windowBytes = 64 * 1024;

const bytesPerKilobyte = 1_000;
const bitsPerByte = 8;

/** Queues of one machine. Times are in milliseconds. */
export class MachineCapacity {
  /** Bytes that were sent. */
  sentBytes = 0;
  private busyUntil = 0;
  private sendsUntil = 0;
  private receivesUntil = 0;

  constructor(
    private readonly scheduler: VirtualScheduler,
    private readonly size: MachineSize,
  ) {}

  /** Time until the processor is free. */
  get waitMilliseconds(): number {
    return Math.max(0, this.busyUntil - this.scheduler.now);
  }

  /** Takes processor time to write a message; returns the time until its end. */
  write({serializedBytes, compressedBytes}: MessageCost): number {
    const {serialized, compressed} = kilobyteMilliseconds;
    return this.occupy(
      (serializedBytes * serialized + compressedBytes * compressed) /
        bytesPerKilobyte,
    );
  }

  /** Takes processor time to read a call; returns the time until its end. */
  readCall({jsonBytes}: MessageCost): number {
    return this.occupy(callMilliseconds + parseMilliseconds(jsonBytes));
  }

  /** Takes processor time to read a reply; returns the time until its end. */
  readReply({jsonBytes}: MessageCost): number {
    return this.occupy(parseMilliseconds(jsonBytes));
  }

  /** Sends bytes after those before; returns the time until the last has left. */
  send(bytes: number): number {
    this.sentBytes += bytes;
    this.sendsUntil = this.advance(this.sendsUntil, this.linkTime(bytes));
    return this.sendsUntil - this.scheduler.now;
  }

  /** Receives bytes after those before; returns the time until the last is here. */
  receive(bytes: number): number {
    this.receivesUntil = this.advance(this.receivesUntil, this.linkTime(bytes));
    return this.receivesUntil - this.scheduler.now;
  }

  private occupy(milliseconds: number): number {
    const time = milliseconds / this.size.cores;
    this.busyUntil = this.advance(this.busyUntil, time);
    return this.waitMilliseconds;
  }

  private advance(until: number, milliseconds: number): number {
    return Math.max(this.scheduler.now, until) + milliseconds;
  }

  private linkTime(bytes: number): number {
    const bytesPerMillisecond =
      (this.size.linkMegabitsPerSecond * 1_000) / bitsPerByte;
    return bytes / bytesPerMillisecond;
  }
}

function parseMilliseconds(bytes: number): number {
  return (bytes * kilobyteMilliseconds.parsed) / bytesPerKilobyte;
}
