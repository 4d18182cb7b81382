/**
 * @fileoverview The part of the metrics that the control parts use.
 */
import {type Metrics as AllMetrics} from '../observability/metrics.js';

export {
  type MetricName,
  type Tags as MetricTags,
} from '../observability/metrics.js';

/** Counts, levels and durations. */
export type Metrics = Omit<AllMetrics, 'close'>;

/** Metrics that are dropped. */
export const silentMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
};
