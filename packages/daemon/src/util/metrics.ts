/**
 * @fileoverview Metrics without the method that closes their client.
 */
import {type Metrics as AllMetrics} from '../observability/metrics.js';

export {
  type MetricName,
  type Tags as MetricTags,
} from '../observability/metrics.js';

/** Sink for counters, gauges and timings. */
export type Metrics = Omit<AllMetrics, 'close'>;

/** Sink that drops all measurements. */
export const silentMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
};
