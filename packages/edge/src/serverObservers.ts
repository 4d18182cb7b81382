/**
 * @fileoverview Passes on what an attempt shows of its server's state.
 */
import {type AttemptOptions} from './attempt.js';
import {type AttemptProgress} from './attemptProgress.js';
import {type EdgeContext} from './edgeContext.js';
import {type CallerRequest} from './wireCodec.js';

/** Callbacks of an attempt that concern its server. */
export type ServerObservers = Pick<
  AttemptOptions,
  'mayBeSent' | 'onSignal' | 'onLimit'
>;

/** Returns the callbacks of one attempt of a request. */
export function createServerObservers(
  {pool, limits, clock}: Pick<EdgeContext, 'pool' | 'limits' | 'clock'>,
  {attemptId: request}: CallerRequest,
  progress: AttemptProgress,
): ServerObservers {
  const {server, startedAt: sentAt} = progress;
  return {
    mayBeSent: connection => {
      const isUnproven = server.connections.leadsElsewhere(connection);
      return server.limit.cold.send(progress, clock.now(), isUnproven);
    },
    onSignal: signal => {
      pool.addSignal(server, progress, request, signal, clock.now());
    },
    onLimit: (stated, isCertain) => {
      const context = {sentAt, now: clock.now(), isCertain};
      limits.recordResponse(server, request, stated, context);
    },
  };
}
