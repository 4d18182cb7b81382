/**
 * @fileoverview Metrics of a process's memory. A process that exhausts it ends
 * without a line of log.
 */
import {getHeapStatistics} from 'node:v8';

import {type MetricsRegistry} from './metricsRegistry.js';

/** Registers gauges of the memory of this process, in bytes. */
export function registerMemoryGauges(metrics: MetricsRegistry): void {
  metrics.gauge(
    'dogwoodtrestle_resident_bytes',
    'Resident memory of the process.',
    () => process.memoryUsage.rss(),
  );
  metrics.gauge(
    'dogwoodtrestle_heap_used_bytes',
    'Bytes of the heap that are in use.',
    () => getHeapStatistics().used_heap_size,
  );
  metrics.gauge(
    'dogwoodtrestle_heap_limit_bytes',
    'Bytes of the heap beyond which the process ends.',
    () => getHeapStatistics().heap_size_limit,
  );
}
