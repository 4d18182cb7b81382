/**
 * @fileoverview Applies evacuations to the servers of a router, and logs which
 * have begun and ended.
 */
import {compareEvacuations} from '@dogwoodtrestle/fleet';
import {type Logger} from '@dogwoodtrestle/runtime';
import {type Evacuations} from '@dogwoodtrestle/schema';

import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type ServerPool} from './serverPool.js';

/** What evacuations act on. */
export interface EvacuationTargets {
  logger: Logger;
  pool: Pick<ServerPool, 'setEvacuated'>;
  /** Returns the client, with the evacuations before the change. */
  control: () => Pick<
    ControlPlaneClient,
    'evacuations' | 'viewAgeMilliseconds'
  >;
}

/** Returns the listener for changes of the evacuations. */
export function evacuationListener({
  logger,
  pool,
  control,
}: EvacuationTargets): (next: Evacuations) => void {
  return next => {
    const {evacuations: known, viewAgeMilliseconds} = control();
    logger.info(
      {
        revision: next.revision,
        ...compareEvacuations(known, next),
        viewAgeMilliseconds: Math.round(viewAgeMilliseconds),
      },
      'evacuated failure domains changed',
    );
    const {evacuations} = next;
    const domains = evacuations.map(({failureDomain}) => failureDomain);
    pool.setEvacuated(new Set(domains));
  };
}
