/**
 * @fileoverview What all requests of a router share.
 */
import {
  type HeldGrants,
  type RouteTable,
  type WindowedRetryBudget,
} from '@dogwoodtrestle/fleet';
import {
  type Clock,
  type Counter,
  type Histogram,
  type Logger,
} from '@dogwoodtrestle/runtime';

import {type AdmissionController} from './admissionController.js';
import {type ControlPlaneClient} from './controlPlaneClient.js';
import {type EdgeOptions} from './edgeOptions.js';
import {type Loans} from './loans.js';
import {type ServerPool} from './serverPool.js';

/** Metrics of requests. */
export interface RequestMetrics {
  requests: Counter;
  retries: Counter;
  durations: Histogram;
}

/** Parts of the router that a request uses. */
export interface EdgeContext {
  options: EdgeOptions;
  clock: Clock;
  logger: Logger;
  admission: AdmissionController;
  grants: HeldGrants;
  retryBudget: WindowedRetryBudget;
  pool: ServerPool;
  control: ControlPlaneClient;
  loans: Loans;
  metrics: RequestMetrics;
  /** Lookups of the configuration in force. */
  routes: () => RouteTable | undefined;
}
