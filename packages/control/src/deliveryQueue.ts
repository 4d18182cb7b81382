/**
 * @fileoverview Limits the bytes of replies with changes that are on their way, until
 * the routers' next calls show that they have arrived. The others wait in order, and
 * are built when their turn comes: with the newest changes, and with room on the
 * event loop and the link for messages between replicas.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/** Bytes of replies that may be on their way, beside the last one. */
const maxBytes = 2_000_000;

/** Replies that are started before the event loop handles other messages. */
const maxStartsPerTurn = 64;

/** Pause between two turns. */
const turnMilliseconds = 1;

/**
 * Time after which a reply counts no more without a sign of its arrival: its router
 * may be gone, or have a slow link.
 */
const arrivalMilliseconds = 250;

/** A reply that may be sent. */
export interface StartedDelivery {
  /** Counts the length of the reply, once it is known. */
  addBytes(bytes: number): void;
  /** The reply is no longer on its way; repeated calls change nothing. */
  end(): void;
}

/** Replies with changes, in the order in which they are sent. */
export class DeliveryQueue {
  private bytes = 0;
  private startsLeft = maxStartsPerTurn;
  private readonly waiting: Array<(delivery: StartedDelivery) => void> = [];
  private isTurnScheduled = false;

  constructor(private readonly clock: Clock) {}

  /** Number of replies that wait for their turn. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Resolves once a reply may be sent. */
  start(): Promise<StartedDelivery> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      this.startNext();
    });
  }

  private startNext(): void {
    while (this.bytes < maxBytes && this.startsLeft > 0) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.startsLeft--;
      this.scheduleTurn();
      next(this.createDelivery());
    }
  }

  private createDelivery(): StartedDelivery {
    let counted = 0;
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      cancel();
      this.bytes -= counted;
      if (this.waiting.length > 0) this.scheduleTurn();
    };
    const cancel = this.clock.setTimer(arrivalMilliseconds, end);
    const addBytes = (bytes: number) => {
      if (hasEnded) return;
      counted += bytes;
      this.bytes += bytes;
    };
    return {addBytes, end};
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    this.clock.setTimer(turnMilliseconds, () => {
      this.isTurnScheduled = false;
      this.startsLeft = maxStartsPerTurn;
      this.startNext();
    });
  }
}
