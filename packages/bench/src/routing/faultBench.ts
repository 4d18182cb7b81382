/**
 * @fileoverview Compares policies under faults: failing servers with and
 * without outlier ejection, a cold server with and without slow start, and a
 * document that half of all prompts start with.
 */
import {type Row} from '../util/table.js';
import {Fleet, type FleetOptions} from './fleet.js';
import {firstTokenDelays, type Measurements} from './measurements.js';
import {baselinePolicy, fullPolicy, type RouterPolicy} from './policy.js';

const second = 1_000;
const faultStart = 30 * second;
const faultEnd = 60 * second;
const runEnd = 100 * second;

/** Load, faults and compared policies of one scenario. */
interface Scenario {
  name: string;
  requestsPerSecond: number;
  options: Partial<FleetOptions>;
  policies: Record<string, RouterPolicy>;
}

const ejectionPolicies: Record<string, RouterPolicy> = {
  'with ejection': fullPolicy,
  'without ejection': {...fullPolicy, outlierDetection: false},
  'least in flight': baselinePolicy('leastInFlight'),
};

function createFaultOptions(
  fault: 'down' | 'failsFast' | 'slow',
): Partial<FleetOptions> {
  return {
    faults: [
      {server: 's0', at: faultStart, fault},
      {server: 's0', at: faultEnd, fault: 'none'},
    ],
  };
}

const scenarios: readonly Scenario[] = [
  {
    name: 'server fails 90% at once',
    requestsPerSecond: 50,
    options: createFaultOptions('failsFast'),
    policies: ejectionPolicies,
  },
  {
    name: 'server down',
    requestsPerSecond: 50,
    options: createFaultOptions('down'),
    policies: ejectionPolicies,
  },
  {
    name: 'server 8 times as slow',
    requestsPerSecond: 40,
    options: createFaultOptions('slow'),
    policies: {
      'without hedging': fullPolicy,
      'with hedging': {...fullPolicy, hedging: true},
      'least in flight': baselinePolicy('leastInFlight'),
    },
  },
  {
    name: 'fresh server, 4 times as slow for 8 s',
    requestsPerSecond: 60,
    options: {
      freshServers: [
        {
          server: 's0',
          at: faultStart,
          slowdown: 4,
          warmUpMilliseconds: 8 * second,
        },
      ],
    },
    policies: {
      'with slow start': fullPolicy,
      'without slow start': {...fullPolicy, slowStart: false},
      'least in flight': baselinePolicy('leastInFlight'),
    },
  },
  {
    name: 'KV caches imported, no fault',
    requestsPerSecond: 50,
    options: {},
    policies: {
      'recomputing always': fullPolicy,
      'link of 1 GB/s': {...fullPolicy, kvTransfer: {}},
      'link of 10 GB/s': {
        ...fullPolicy,
        kvTransfer: {bytesPerSecond: 10_000_000_000},
      },
    },
  },
  {
    name: 'half of the requests paste one agreement',
    requestsPerSecond: 50,
    options: {hotDocumentShare: 0.5},
    policies: {
      'affinity with its limit': fullPolicy,
      'affinity without limit': {
        ...fullPolicy,
        choiceOptions: {affinityHeadroom: Infinity},
      },
      'no affinity': {...fullPolicy, choiceOptions: {recomputeCost: 0}},
      'least in flight': baselinePolicy('leastInFlight'),
    },
  },
];

/** Returns one row for each scenario and policy, the full policy first. */
export function compareFaults(options: Partial<FleetOptions> = {}): Row[] {
  return scenarios.flatMap(scenario =>
    Object.entries(scenario.policies).map(([name, policy]) => ({
      scenario: scenario.name,
      ...rowOf(name, run(scenario, policy, options)),
    })),
  );
}

function run(
  {requestsPerSecond, options}: Scenario,
  policy: RouterPolicy,
  commonOptions: Partial<FleetOptions>,
): Measurements {
  const fleet = new Fleet({
    ...commonOptions,
    ...options,
    policy,
    durationMilliseconds: runEnd,
    rate: () => requestsPerSecond,
  });
  return fleet.run();
}

/** Summarises the requests that were sent during the fault. */
function rowOf(name: string, measurements: Measurements): Row {
  const records = measurements.sentBetween(faultStart, faultEnd);
  const delays = firstTokenDelays(records);
  const incomplete = records.filter(
    ({completedAt}) => completedAt === undefined,
  );
  const retried = records.filter(({tries}) => tries > 1);
  return {
    policy: name,
    'first token p50 ms': delays.percentile(50),
    p95: delays.percentile(95),
    p99: delays.percentile(99),
    'normal p95': firstTokenDelays(records, 'normal').percentile(95),
    requests: records.length,
    'tried again by the caller': retried.length,
    'no whole answer': incomplete.length,
    'attempts of the run': measurements.attempts,
    'cache hits': measurements.cacheHitShare(),
  };
}
