/**
 * @fileoverview The part of a StatsD client that the control parts use.
 */

/** Tags of one measurement. */
export type MetricTags = Record<string, string>;

/** Counts, levels and durations. */
export interface Metrics {
  increment(name: string, value?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, milliseconds: number, tags?: MetricTags): void;
}

/** Metrics that are dropped. */
export const silentMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
};
