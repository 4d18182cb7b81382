/**
 * @fileoverview The incarnation as which a router spends tokens. A process starts
 * as one; it goes on as another one if the control processes recorded the first
 * one as ended though the process runs.
 */
import {randomUUID} from 'node:crypto';

import {type Clock} from '@dogwoodtrestle/runtime';
import {type RouterLife} from '@dogwoodtrestle/schema';

/** One incarnation. */
export interface RouterIncarnation {
  readonly routerId: string;
  readonly life: RouterLife;
  /** The incarnation of the same process that it follows. */
  readonly follows?: string;
}

/** What identifies the instance and its clocks. */
export interface RouterIdentityOptions {
  clock: Clock;
  instance: string;
  /** Id of the monotonic clock. */
  steadyClock: string;
  /** Generates the name of an incarnation. */
  generateId?: () => string;
}

/** The current incarnation of this process. */
export class RouterIdentity {
  private incarnation: RouterIncarnation;

  constructor(private readonly options: RouterIdentityOptions) {
    this.incarnation = this.create();
  }

  /** The current incarnation. */
  get current(): RouterIncarnation {
    return this.incarnation;
  }

  /** Name of the current incarnation. */
  get routerId(): string {
    return this.incarnation.routerId;
  }

  /** Goes on as another incarnation, without what the current one holds. */
  renew(): void {
    const follows = this.incarnation.routerId;
    this.incarnation = {...this.create(), follows};
  }

  private create(): RouterIncarnation {
    const {clock, instance, steadyClock, generateId} = this.options;
    const life = {
      instance,
      clock: steadyClock,
      startedAt: Math.floor(clock.now()),
      wallStartedAt: Math.floor(clock.wallNow()),
    };
    return {routerId: (generateId ?? randomUUID)(), life};
  }
}
