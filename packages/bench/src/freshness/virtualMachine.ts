/**
 * @fileoverview Machines in virtual time, each of which runs one process that can
 * be killed, frozen, slowed and started again.
 */
import {type CallContext, type Clock} from '@dogwoodtrestle/runtime';

import {VirtualTime} from '../routing/virtualTime.js';
import {type MachineCapacity} from './machineCapacity.js';

/** Timers with a resolution of 1 ms. Promises settle between two times. */
export class VirtualScheduler {
  private readonly time = new VirtualTime();
  private hasRun = false;

  /** Milliseconds since the start of the history. */
  get now(): number {
    return this.time.now;
  }

  /** Runs a callback once after a delay; the returned function cancels it. */
  after(milliseconds: number, run: () => void): () => void {
    let callback: (() => void) | undefined = run;
    this.time.after(Math.max(1, Math.round(milliseconds)), () => {
      if (callback === undefined) return;
      this.hasRun = true;
      callback();
    });
    return () => {
      callback = undefined;
    };
  }

  /** Runs all timers up to a time, in milliseconds. */
  async runUntil(end: number): Promise<void> {
    while (this.now < end) {
      this.time.runUntil(this.now + 1);
      if (!this.hasRun) continue;
      this.hasRun = false;
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

/** Handlers of peer calls, by method. */
export type CallTable = Record<
  string,
  (message: never, call: CallContext) => Promise<unknown>
>;

/** A machine and its process. */
export class VirtualMachine {
  isRunning = false;
  /** Without power, connections aren't reset, and packets get no reply. */
  isPowered = true;
  /** Number of the process that runs, or ran last. */
  epoch = 0;
  /** Mean delay of packets at the machine's link, each way. */
  linkMilliseconds = 0;
  /** Share of packets that its link loses. */
  lossRate = 0;
  /** Largest delay of each call that its process handles. */
  slowMilliseconds = 0;
  /** Processor time of each call that its process handles, one at a time. */
  handlingMilliseconds = 0;
  /** Its processor and link, where these are charged. */
  capacity?: MachineCapacity;
  private busyUntil = 0;
  handlers: CallTable = {};
  isFrozen = false;
  private deferred: Array<() => void> = [];

  constructor(
    readonly address: string,
    private readonly scheduler: VirtualScheduler,
  ) {}

  /** Starts another process, and returns its clock. */
  start(): Clock {
    const {scheduler} = this;
    this.epoch++;
    this.isPowered = true;
    this.isRunning = true;
    const {epoch} = this;
    return {
      now: () => scheduler.now,
      wallNow: () => scheduler.now,
      setTimer: (milliseconds, callback) =>
        scheduler.after(milliseconds, () => this.runWhenFree(epoch, callback)),
    };
  }

  /** Runs a callback of one process once its processor is free. */
  runWhenFree(epoch: number, callback: () => void): void {
    const wait = this.capacity?.waitMilliseconds ?? 0;
    if (wait < 1) return this.run(epoch, callback);
    this.scheduler.after(wait, () => this.runWhenFree(epoch, callback));
  }

  /** Takes processor time for a call; returns the time until it is handled. */
  handlingDelay(random: () => number): number {
    const {now} = this.scheduler;
    this.busyUntil = Math.max(now, this.busyUntil) + this.handlingMilliseconds;
    return this.busyUntil - now + this.slowMilliseconds * random();
  }

  /** Ends the process: none of its timers and messages has an effect any more. */
  stop(isPowered: boolean): void {
    this.epoch++;
    this.isRunning = false;
    this.isPowered = isPowered;
    this.isFrozen = false;
    this.deferred = [];
    this.handlers = {};
  }

  /** Stops the process without ending it. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** Resumes the process: it runs what became due meanwhile. */
  thaw(): void {
    this.isFrozen = false;
    for (const callback of this.deferred.splice(0)) callback();
  }

  /** Runs a callback of one process, later if it is frozen. */
  run(epoch: number, callback: () => void): void {
    if (epoch !== this.epoch || !this.isRunning) return;
    if (this.isFrozen) this.deferred.push(callback);
    else callback();
  }
}
