/**
 * @fileoverview Decides whether a caller may take up a stream that broke off: only
 * at servers with the software version that began it.
 */
import {type EdgeContext} from './edgeContext.js';
import {type RefusalReason} from './refusal.js';
import {type RoutedRequest} from './routedRequest.js';

/** Who may go on with a stream. */
export interface TakeUpDecision {
  /** The only version whose servers may; any if undefined. */
  softwareVersion?: string;
  /** Why none may. */
  refusal?: RefusalReason;
}

/** Decides on a request; one that takes up no stream may go to any server. */
export async function decideTakeUp(
  {streams, pool, logger}: Pick<EdgeContext, 'streams' | 'pool' | 'logger'>,
  {request, route, service}: RoutedRequest,
): Promise<TakeUpDecision> {
  const {attemptId, lastEventId, resumedAttemptId: resumes} = request;
  if (route.kind !== 'streaming' || lastEventId === undefined) return {};
  const origin = await streams.find(resumes, service);
  const {softwareVersion} = origin;
  const refusal = refusalOf(softwareVersion, version =>
    pool.hasReadyServer(service, version),
  );
  const outcome = refusal ?? 'goesOn';
  logger.info(
    {request: attemptId, service, resumes, lastEventId, ...origin, outcome},
    'stream taken up',
  );
  return {softwareVersion, refusal};
}

function refusalOf(
  softwareVersion: string | undefined,
  isServed: (softwareVersion: string) => boolean,
): RefusalReason | undefined {
  if (softwareVersion === undefined) return 'streamUnknown';
  return isServed(softwareVersion) ? undefined : 'streamVersionGone';
}
