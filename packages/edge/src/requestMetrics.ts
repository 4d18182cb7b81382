/** @fileoverview Metrics of callers' requests. */
import {
  type Counter,
  type Histogram,
  type MetricsRegistry,
} from '@dogwoodtrestle/runtime';

/** Metrics of callers' requests. */
export interface RequestMetrics {
  requests: Counter;
  /** Requests that the router refused or failed, by workspace and reason. */
  failures: Counter;
  retries: Counter;
  /** Responses that were given up as they had no end, by service. */
  endlessResponses: Counter;
  durations: Histogram;
  /** Times of waits for room, by kind and outcome. */
  waits: Histogram;
}

/** Registers the metrics. */
export function createRequestMetrics(metrics: MetricsRegistry): RequestMetrics {
  return {
    requests: metrics.counter(
      'dogwoodtrestle_requests_total',
      'Requests of callers, by route and outcome.',
    ),
    failures: metrics.counter(
      'dogwoodtrestle_failed_requests_total',
      'Requests that the router refused or failed, by workspace and reason.',
    ),
    retries: metrics.counter(
      'dogwoodtrestle_repeats_total',
      'Further attempts of requests, by service.',
    ),
    endlessResponses: metrics.counter(
      'dogwoodtrestle_endless_responses_total',
      'Responses that were given up as they had no end, by service.',
    ),
    durations: metrics.histogram(
      'dogwoodtrestle_request_milliseconds',
      'Time to the end of the answer.',
    ),
    waits: metrics.histogram(
      'dogwoodtrestle_room_wait_milliseconds',
      'Time for which requests waited for room, by kind and outcome.',
    ),
  };
}
