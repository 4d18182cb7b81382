/**
 * @fileoverview What a router tells a backend server with a caller's request.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

import {type RoutedRequest} from './routedRequest.js';
import {type ForwardInstructions} from './wireCodec.js';

const lowestUrgency = 9;

/** What differs between the attempts of a request. */
export interface AttemptTarget {
  server: BackendServerRecord;
  timeRemainingMilliseconds: number;
  /** Id of the last event that the caller has received from this router. */
  lastEventId?: string;
}

/** Returns the instructions for one attempt. */
export function createForwardInstructions(
  {request, route, workspace}: RoutedRequest,
  {server, timeRemainingMilliseconds, lastEventId}: AttemptTarget,
): ForwardInstructions {
  const priority = workspace?.priority ?? route.priority;
  return {
    server,
    timeRemainingMilliseconds: Math.floor(timeRemainingMilliseconds),
    workspace: workspace?.name,
    urgency: Math.min(lowestUrgency, Math.max(0, priority)),
    lastEventId: lastEventId ?? request.lastEventId,
  };
}
