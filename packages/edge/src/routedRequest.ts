/**
 * @fileoverview What one request of a caller is served with.
 */
import {type FleetRoute, type FleetWorkspace} from '@dogwoodtrestle/schema';

import {type CallerRequest} from './wireCodec.js';

/** What a run is made of. */
export interface RoutedRequest {
  request: CallerRequest;
  body: Buffer;
  route: FleetRoute;
  service: string;
  workspace?: FleetWorkspace;
  /** Version of the configuration that the route is from. */
  configurationVersion: number;
  /** Monotonic time at which the head of the request was read. */
  receivedAt: number;
}
