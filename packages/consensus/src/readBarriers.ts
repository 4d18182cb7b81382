/**
 * @fileoverview Reads that wait until they are linearizable.
 */
import {type Deferred, deferred} from './util/deferred.js';

interface Barrier {
  /** Heartbeat round, begun after the read came in, that confirms it. */
  round: number;
  readIndex: number;
  outcome: Deferred<number>;
}

/** Barriers of one leadership, oldest first. */
export class ReadBarriers {
  private waiting: Barrier[] = [];

  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** Adds a barrier; resolves with the index that the read includes. */
  add(round: number, readIndex: number): Promise<number> {
    const outcome = deferred<number>();
    this.waiting.push({round, readIndex, outcome});
    return outcome.promise;
  }

  /** Resolves what is confirmed by a majority and applied here. */
  release(confirmedRound: number, lastApplied: number): void {
    while (this.waiting[0] !== undefined) {
      const {round, readIndex, outcome} = this.waiting[0];
      if (round > confirmedRound || readIndex > lastApplied) return;
      outcome.resolve(readIndex);
      this.waiting.shift();
    }
  }

  rejectAll(error: Error): void {
    for (const {outcome} of this.waiting) outcome.reject(error);
    this.waiting = [];
  }
}
