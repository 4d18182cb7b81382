/**
 * @fileoverview Metrics of the daemon, sent to a StatsD collector.
 *
 * `metricTable` lists every metric; docs/operators/metrics.md is generated from
 * it.
 */
import {type Settings} from '@dogwoodtrestle/schema';
import {StatsD} from 'hot-shots';

/** Kind, unit and meaning of each metric. */
export const metricTable = {
  'attempts.crossed': {
    kind: 'counter',
    unit: 'messages',
    meaning: 'Messages dropped because they carried the id of another attempt.',
  },
  'attempts.failed': {
    kind: 'counter',
    unit: 'attempts',
    meaning: 'Attempts at backend servers that failed, by reason.',
  },
  'attempts.resumed': {
    kind: 'counter',
    unit: 'streams',
    meaning: 'Streams resumed behind their first chunks.',
  },
  'backend.announcements': {
    kind: 'counter',
    unit: 'announcements',
    meaning: 'Announcements received from backend servers.',
  },
  'configuration.age': {
    kind: 'gauge',
    unit: 'ms',
    meaning: 'Time since the quorum last confirmed the configuration.',
  },
  'configuration.revision': {
    kind: 'gauge',
    unit: 'changes',
    meaning: 'Configuration revision in force.',
  },
  'requests.abandoned': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Open requests without a holder that were settled, by outcome.',
  },
  'orders.sent': {
    kind: 'counter',
    unit: 'orders',
    meaning: 'Orders given to backend servers, by order.',
  },
  'replica.repairs': {
    kind: 'counter',
    unit: 'steps',
    meaning: 'Steps that replaced a lost replica, by step.',
  },
  'grants.held': {
    kind: 'gauge',
    unit: 'grants',
    meaning: 'Grants held by this instance.',
  },
  'grants.journal_failed': {
    kind: 'counter',
    unit: 'writes',
    meaning: 'Writes to a journal that failed.',
  },
  'grants.opened': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests opened on a grant.',
  },
  'grants.returned': {
    kind: 'counter',
    unit: 'grants',
    meaning: 'Grants given back.',
  },
  'ledger.call': {
    kind: 'timing',
    unit: 'ms',
    meaning: "One call to the ledger's leader.",
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
  'ledger.unreachable': {
    kind: 'counter',
    unit: 'events',
    meaning: 'Times that the quorum was out of reach.',
  },
  'limits.met': {
    kind: 'counter',
    unit: 'clients',
    meaning:
      'Clients that were refused or closed at a limit, by port and limit.',
  },
  'membership.findings': {
    kind: 'counter',
    unit: 'findings',
    meaning: 'Conflicts found in the membership, by kind.',
  },
  'membership.instances': {
    kind: 'gauge',
    unit: 'instances',
    meaning: 'Instances heard of.',
  },
  'membership.records': {
    kind: 'counter',
    unit: 'records',
    meaning: 'Records of backend servers received from peers.',
  },
  'peer.calls': {
    kind: 'counter',
    unit: 'calls',
    meaning: 'Calls to other instances, by procedure.',
  },
  'peer.received_bytes': {
    kind: 'counter',
    unit: 'bytes',
    meaning: 'Bytes received in calls between instances, by procedure.',
  },
  'peer.rejected': {
    kind: 'counter',
    unit: 'calls',
    meaning: 'Calls from other instances that were rejected, by reason.',
  },
  'peer.sent_bytes': {
    kind: 'counter',
    unit: 'bytes',
    meaning: 'Bytes sent in calls between instances, by procedure.',
  },
  'replica.applied_lag': {
    kind: 'gauge',
    unit: 'entries',
    meaning: 'Committed entries that are not yet applied.',
  },
  'replica.commit_index': {
    kind: 'gauge',
    unit: 'entries',
    meaning: 'Index of the newest committed entry.',
  },
  'replica.leads': {
    kind: 'gauge',
    unit: '0 or 1',
    meaning: 'Whether this replica leads.',
  },
  'replica.term': {
    kind: 'gauge',
    unit: 'terms',
    meaning: 'Term of the replica.',
  },
  'requests.duration': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time from arrival to the end of the answer.',
  },
  'requests.finished': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests that got an answer, by code.',
  },
  'requests.first_byte': {
    kind: 'timing',
    unit: 'ms',
    meaning: 'Time to the first token of a streamed answer.',
  },
  'requests.in_flight': {
    kind: 'gauge',
    unit: 'requests',
    meaning: 'Requests in progress.',
  },
  'requests.refused': {
    kind: 'counter',
    unit: 'requests',
    meaning: 'Requests that were refused, by code.',
  },
} as const;

/** Name of a metric. */
export type MetricName = keyof typeof metricTable;

/** Tags of a measurement by name. */
export type Tags = Record<string, string>;

/** Sink for measurements. */
export interface Metrics {
  /** Adds to a counter; adds 1 by default. */
  increment(name: MetricName, value?: number, tags?: Tags): void;
  timing(name: MetricName, milliseconds: number, tags?: Tags): void;
  gauge(name: MetricName, value: number, tags?: Tags): void;
  /** Sends buffered measurements and closes the client. */
  close(): Promise<void>;
}

/**
 * Creates the metrics of an instance. Without a collector in the settings they
 * are dropped.
 */
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
    errorHandler: () => undefined, // failures must not affect requests
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
