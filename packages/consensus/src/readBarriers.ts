/**
 * @fileoverview Pending linearizable reads (ReadIndex, section 6.4 of the Raft
 * dissertation).
 */
import {type Deferred, deferred} from './util/deferred.js';

interface Barrier {
  /** Heartbeat round, started after the read arrived, that confirms it. */
  round: number;
  readIndex: number;
  outcome: Deferred<number>;
}

/** Read barriers of one leadership, oldest first. */
export class ReadBarriers {
  private pending: Barrier[] = [];

  /** Whether any barrier is pending. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Adds a barrier; resolves with its read index once it is released. */
  add(round: number, readIndex: number): Promise<number> {
    const outcome = deferred<number>();
    this.pending.push({round, readIndex, outcome});
    return outcome.promise;
  }

  /** Resolves barriers whose round is confirmed and whose index is applied. */
  release(confirmedRound: number, lastApplied: number): void {
    while (this.pending[0] !== undefined) {
      const {round, readIndex, outcome} = this.pending[0];
      if (round > confirmedRound || readIndex > lastApplied) return;
      outcome.resolve(readIndex);
      this.pending.shift();
    }
  }

  /** Rejects all pending barriers. */
  rejectAll(error: Error): void {
    for (const {outcome} of this.pending) outcome.reject(error);
    this.pending = [];
  }
}
