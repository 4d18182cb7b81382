/**
 * @fileoverview Limits the replies with changes that are on their way at once. The
 * others wait in order, and are built when their turn comes: with the newest changes,
 * and with room on the event loop and the link for messages between replicas.
 */
import {type Clock} from '@dogwoodtrestle/runtime';

/** Replies with changes that may be on their way. */
const maxDeliveries = 24;

/**
 * Time after which a reply leaves its place, though it was not handed over: its
 * router may be gone, or have a slow link.
 */
const placeMilliseconds = 250;

/** Pause after which places that became free are taken. */
const turnMilliseconds = 1;

/** Gives a place back; repeated calls change nothing. */
export type PlaceRelease = () => void;

/** Places for replies with changes. */
export class DeliveryQueue {
  private taken = 0;
  private readonly waiting: Array<(release: PlaceRelease) => void> = [];
  private isTurnScheduled = false;

  constructor(private readonly clock: Clock) {}

  /** Number of replies that wait for a place. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Resolves once a place is free, with the function that gives it back. */
  take(): Promise<PlaceRelease> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      if (!this.isTurnScheduled) this.fillPlaces();
    });
  }

  private fillPlaces(): void {
    while (this.taken < maxDeliveries) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      next(this.place());
    }
  }

  private place(): PlaceRelease {
    this.taken++;
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      cancel();
      this.taken--;
      this.scheduleTurn();
    };
    const cancel = this.clock.setTimer(placeMilliseconds, release);
    return release;
  }

  /** Lets the event loop handle other messages before the next replies. */
  private scheduleTurn(): void {
    if (this.isTurnScheduled || this.waiting.length === 0) return;
    this.isTurnScheduled = true;
    this.clock.setTimer(turnMilliseconds, () => {
      this.isTurnScheduled = false;
      this.fillPlaces();
    });
  }
}
