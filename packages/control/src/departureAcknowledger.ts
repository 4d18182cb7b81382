/**
 * @fileoverview Decides when the departure of a backend server is acknowledged.
 */
import {type ServerDirectory} from '@dogwoodtrestle/fleet';
import {type Departure} from '@dogwoodtrestle/schema';

import {type ControlOptions} from './controlOptions.js';
import {type KnownRouters} from './knownRouters.js';
import {type ServerChangeRecorder} from './serverChangeRecorder.js';

/** Longest time for which an acknowledgement waits until routers know. */
const routerWaitMilliseconds = 300;

/** Time after which it waits no more, from the receipt of the departure. */
const waitLimitMilliseconds = 350;

/** Acknowledges departures while this process leads. */
export class DepartureAcknowledger {
  constructor(
    private readonly options: Pick<
      ControlOptions,
      'clock' | 'acknowledgeTimeoutMilliseconds'
    >,
    private readonly recorder: Pick<ServerChangeRecorder, 'confirm'>,
    private readonly directory: Pick<
      ServerDirectory,
      'epoch' | 'currentRevision'
    >,
    private readonly routers: Pick<KnownRouters, 'waitUntilApplied'>,
  ) {}

  /**
   * Resolves with whether the departures are committed before the timeout, once
   * the routers know them or a limited time has passed.
   */
  async acknowledge(departures: readonly Departure[]): Promise<boolean> {
    const {clock, acknowledgeTimeoutMilliseconds} = this.options;
    const receivedAt = clock.now();
    let cancel = () => {};
    const timeout = new Promise<boolean>(resolve => {
      cancel = clock.setTimer(acknowledgeTimeoutMilliseconds, () =>
        resolve(false),
      );
    });
    const confirmed = this.recorder.confirm(departures);
    const isCommitted = await Promise.race([confirmed, timeout]);
    cancel();
    if (!isCommitted) return false;
    const {epoch, currentRevision: revision} = this.directory;
    await this.routers.waitUntilApplied(
      {epoch, revision},
      Math.min(
        routerWaitMilliseconds,
        receivedAt + waitLimitMilliseconds - clock.now(),
      ),
    );
    return true;
  }
}
