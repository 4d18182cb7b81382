/**
 * @fileoverview State that all requests of a router share.
 */
import {
  type HeldGrants,
  type RouteTable,
  type WindowedRetryBudget,
} from '@dogwoodtrestle/fleet';
import {
  type ByteBudget,
  type Clock,
  type Logger,
} from '@dogwoodtrestle/runtime';

import {type AdmissionController} from './admissionController.js';
import {type ConnectionShares} from './connectionShares.js';
import {type ConnectionWaits} from './connectionWaits.js';
import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type EdgeOptions} from './edgeOptions.js';
import {type EventCoalescer} from './eventCoalescer.js';
import {type Loans} from './loans.js';
import {type CrashSubjects} from './crashSubjects.js';
import {type RequestMetrics} from './requestMetrics.js';
import {type ServerCrashes} from './serverCrashes.js';
import {type ServerLimits} from './serverLimits.js';
import {type ServerPaces} from './serverPaces.js';
import {type ServerPool} from './serverPool.js';
import {type ServerReach} from './serverReach.js';
import {type ServerSpeeds} from './serverSpeeds.js';
import {type StreamOrigins} from './streamOrigins.js';

/** Components of the router that handle requests. */
export interface EdgeContext {
  options: EdgeOptions;
  clock: Clock;
  logger: Logger;
  admission: AdmissionController;
  grants: HeldGrants;
  retryBudget: WindowedRetryBudget;
  pool: ServerPool;
  paces: ServerPaces;
  limits: ServerLimits;
  reach: ServerReach;
  connections: ConnectionShares;
  connectionWaits: ConnectionWaits;
  speeds: ServerSpeeds;
  crashes: ServerCrashes;
  crashSubjects: CrashSubjects;
  control: ControlPlaneClient;
  loans: Loans;
  streams: StreamOrigins;
  /** Delays reads of streams while the router is busy. */
  coalescer: EventCoalescer;
  /** Limits what all responses together occupy before they are relayed. */
  responseBudget: ByteBudget;
  metrics: RequestMetrics;
  /** Returns the active configuration; undefined before the first one. */
  routes: () => RouteTable | undefined;
}
