/**
 * @fileoverview Runs what only the leader can do: locally on the leader, or by a
 * call to it. Both are bounded by a timeout.
 */
import {type PeerCallClient} from '@dogwoodtrestle/runtime';

import {type ControlOptions} from './controlOptions.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** What could not be done or is not known to be done, and why. */
export interface Unavailable {
  kind: 'unavailable';
  reason: string;
}

/** Runs calls at the leader. */
export class LeaderCalls {
  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'forwardTimeoutMilliseconds'
    >,
    private readonly client: Pick<PeerCallClient, 'call'>,
    private readonly group: Pick<ReplicaGroup, 'isLeader' | 'leaderAddress'>,
  ) {}

  /**
   * Runs locally on the leader, or forwards the call to it.
   *
   * @param milliseconds Time limit; that of all forwarded calls by default.
   */
  async run<T>(
    run: () => Promise<T>,
    method: string,
    message: unknown,
    milliseconds = this.options.forwardTimeoutMilliseconds,
  ): Promise<T | Unavailable> {
    if (this.group.isLeader) return this.runWithin(run, milliseconds);
    const leader = this.group.leaderAddress;
    if (leader === undefined) {
      return {kind: 'unavailable', reason: 'no leader is known'};
    }
    try {
      return await this.client.call<T>(leader, method, message, {
        timeoutMilliseconds: milliseconds,
      });
    } catch (error) {
      return {kind: 'unavailable', reason: String(error)};
    }
  }

  private runWithin<T>(
    run: () => Promise<T>,
    milliseconds: number,
  ): Promise<T | Unavailable> {
    let cancel = () => {};
    const timeout = new Promise<Unavailable>(resolve => {
      cancel = this.options.clock.setTimer(milliseconds, () =>
        resolve({
          kind: 'unavailable',
          reason: 'no majority within the timeout',
        }),
      );
    });
    return Promise.race([run(), timeout]).finally(() => cancel());
  }
}
