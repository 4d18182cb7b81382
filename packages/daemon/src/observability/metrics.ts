/**
 * @fileoverview Metrics of the daemon, sent to a StatsD collector.
 *
 * Every metric is listed in one table with its kind and unit, from which
 * docs/metrics.md is checked.
 */
import {type Settings} from '@dogwoodtrestle/schema';
import {StatsD} from 'hot-shots';

/** Kind, unit and meaning of each metric. */
export const metricTable = {
  'requests.finished': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests that got an answer, tagged by code.',
  },
  'requests.refused': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests that were refused, tagged by code.',
  },
  'requests.first_byte': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time to the first token of a chat answer.',
  },
  'requests.duration': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time from arrival to the end of the answer.',
  },
  'requests.in_flight': {
    kind: 'gauge',
    unit: 'requests',
    meaning: 'Requests in progress.',
  },
  'attempts.failed': {
    kind: 'counter',
    unit: 'attempts',
    meaning: 'Attempts at backend servers that failed, tagged by reason.',
  },
  'attempts.crossed': {
    kind: 'counter',
    unit: 'messages',
    meaning: 'Messages dropped because they carried the id of another attempt.',
  },
  'attempts.resumed': {
    kind: 'counter',
    unit: 'streams',
    meaning: 'Streams resumed or run again without a visible break.',
  },
  'ledger.open': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time until the durable record of a request.',
  },
  'ledger.settle': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time until a request was billed.',
  },
  'grants.opened': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests opened on a grant.',
  },
  'control.bytes': {
    kind: 'counter',
    unit: 'bytes',
    meaning: 'Bytes of control traffic, tagged by call.',
  },
} as const;

/** Name of a metric. */
export type MetricName = keyof typeof metricTable;

/** Tags of one measurement. */
export type Tags = Record<string, string>;

/** Sink for measurements. */
export interface Metrics {
  increment(name: MetricName, value?: number, tags?: Tags): void;
  timing(name: MetricName, milliseconds: number, tags?: Tags): void;
  gauge(name: MetricName, value: number, tags?: Tags): void;
  close(): Promise<void>;
}

/** Creates the metrics of an instance; without a collector nothing is sent. */
export function createMetrics(settings: Settings): Metrics {
  const {statsdHost, statsdPort} = settings.metrics;
  if (statsdHost === undefined) return silentMetrics;
  const client = new StatsD({
    host: statsdHost,
    port: statsdPort,
    prefix: 'dogwoodtrestle.',
    globalTags: {
      instance: settings.instance.name,
      failure_domain: settings.instance.failureDomain,
    },
    errorHandler: () => undefined, // a lost collector must not disturb requests
  });
  return {
    increment: (name, value = 1, tags = {}) =>
      client.increment(name, value, tags),
    timing: (name, milliseconds, tags = {}) =>
      client.timing(name, milliseconds, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    close: () =>
      new Promise(resolve => {
        client.close(() => resolve());
      }),
  };
}

const silentMetrics: Metrics = {
  increment: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
  close: () => Promise.resolve(),
};
