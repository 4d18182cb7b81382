/**
 * @fileoverview A caller's request together with the route that it matched.
 */
import {type FleetRoute, type FleetWorkspace} from '@dogwoodtrestle/schema';

import {type CallerRequest} from './wireCodec.js';

/** A request, its body, and the configuration that applies to it. */
export interface RoutedRequest {
  request: CallerRequest;
  body: Buffer;
  route: FleetRoute;
  service: string;
  workspace?: FleetWorkspace;
  /** Version of the configuration that the route belongs to. */
  configurationVersion: number;
  /** Monotonic time at which the request's head was read, in milliseconds. */
  receivedAt: number;
}
