/**
 * @fileoverview Computes the tables in docs/CAPACITY.md from measurements.
 *
 * Reads `docs/measurements/*.json`, as written by
 * `npm run bench -- NAME --json docs/measurements/NAME.json`, fits straight
 * lines, and replaces the sections of the page between its markers.
 */
import {readFileSync, writeFileSync} from 'node:fs';

const page = 'docs/CAPACITY.md';

/** Size of the deployment that the page is computed for. */
const size = {
  daemons: 400,
  setAside: 7,
  servers: 1100,
  requestsPerSecond: 9000,
  tokensPerSecond: 3_000_000,
  millisecondsBetweenTokens: 43,
  budgets: 55_000,
  regions: 7,
  changesPerDay: 1900,
  coreSharePercent: 1.9,
  controlMegabytes: 32,
  controlKilobytesPerSecond: 5,
};

const secondsPerDay = 86_400;

function readRows(name) {
  return JSON.parse(readFileSync(`docs/measurements/${name}.json`, 'utf8'));
}

/**
 * Fits y = a + b·x by least squares. `largestResidual` is a share of the largest
 * value.
 */
function fit(rows, x, y) {
  const points = rows.map(row => [Number(row[x]), Number(row[y])]);
  const mean = index =>
    points.reduce((sum, point) => sum + point[index], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const covariance = points.reduce(
    (sum, [px, py]) => sum + (px - meanX) * (py - meanY),
    0,
  );
  const variance = points.reduce((sum, [px]) => sum + (px - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, py]) => Math.abs(py)));
  const largestResidual = Math.max(
    ...points.map(
      ([px, py]) => Math.abs(py - intercept - slope * px) / largest,
    ),
  );
  return {
    slope,
    intercept,
    largestResidual,
    at: value => intercept + slope * value,
  };
}

function round(value) {
  if (value === 0 || Math.abs(value) >= 100) return Math.round(value);
  return Number(value.toPrecision(3));
}

function table(rows) {
  const columns = Object.keys(rows[0]);
  const cell = value => (typeof value === 'number' ? round(value) : value);
  return [
    columns,
    columns.map(() => '---'),
    ...rows.map(row => columns.map(name => cell(row[name]))),
  ]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

const routers = size.daemons - size.setAside;
const perRouter = {
  requests: size.requestsPerSecond / routers,
  tokens: size.tokensPerSecond / routers,
};
const tokensPerRequest = size.tokensPerSecond / size.requestsPerSecond;
const openStreams =
  (size.requestsPerSecond * tokensPerRequest * size.millisecondsBetweenTokens) /
  1000;

function slopeRow(name, unit, line, command) {
  return {
    slope: name,
    unit,
    'at zero': line.intercept,
    'per unit': line.slope,
    'largest misfit': `${round(100 * line.largestResidual)}%`,
    command: `\`npm run bench -- ${command}\``,
  };
}

const streams = readRows('streams');
const streamCost = fit(streams, 'tokens in an answer', 'router, µs an answer');
const streamMemory = fit(
  readRows('open-streams'),
  'open streams',
  'router, resident MB',
);
const control = readRows('control');
const rowsByDaemons = control.filter(row => row['backend servers'] === 8);
const rowsByServers = control.filter(row => row.daemons === 8);
const bytesByDaemons = fit(rowsByDaemons, 'daemons', 'KB a second per daemon');
const bytesByServers = fit(
  rowsByServers,
  'backend servers',
  'KB a second per daemon',
);
const coreByDaemons = fit(rowsByDaemons, 'daemons', 'router: core, %');
const coreByServers = fit(rowsByServers, 'backend servers', 'router: core, %');
const ledger = readRows('ledger');
const budgetMemory = Number(ledger.at(-1)['B/budget']);
const openMemory = Number(ledger.at(-1)['B/open request']);
const settledMemory = Number(ledger.at(-1)['B/settled key']);
const forgottenMemory = Number(ledger.at(-1)['B/forgotten key']);
const snapshotSize = fit(ledger, 'budgets', 'snapshot KB');
const snapshotTime = fit(ledger, 'budgets', 'snapshot ms');
const encodeTime = fit(ledger, 'budgets', 'to JSON ms');
const snapshotPause =
  snapshotTime.at(size.budgets) + encodeTime.at(size.budgets);
const openSettleMicroseconds = Math.max(
  ...ledger.slice(1).map(row => Number(row['open+settle µs'])),
);
const consensus = readRows('consensus').filter(row => row.callers === 64);
const [consensusRow] = consensus;
const decision = fit(readRows('routing-decision'), 'servers', 'p50 us');
const changes = readRows('changes');

const slopes = [
  slopeRow(
    'router, time of an answer by its tokens',
    'µs a token',
    streamCost,
    'streams',
  ),
  slopeRow(
    'router, memory by open streams',
    'MB a stream',
    streamMemory,
    'open-streams',
  ),
  slopeRow(
    'control, bytes by daemons (8 servers)',
    'KB/s a daemon',
    bytesByDaemons,
    'control',
  ),
  slopeRow(
    'control, bytes by servers (8 daemons)',
    'KB/s a server',
    bytesByServers,
    'control',
  ),
  slopeRow(
    'control, core by daemons (8 servers)',
    '% a daemon',
    coreByDaemons,
    'control',
  ),
  slopeRow(
    'control, core by servers (8 daemons)',
    '% a server',
    coreByServers,
    'control',
  ),
  slopeRow(
    'routing decision by servers',
    'µs a server',
    decision,
    'routing-decision',
  ),
  slopeRow(
    'ledger, snapshot by budgets',
    'KB a budget',
    snapshotSize,
    'ledger',
  ),
  slopeRow(
    'ledger, pause for a snapshot by budgets',
    'ms a budget',
    snapshotTime,
    'ledger',
  ),
];

const commandsPerGroup = (2 * size.requestsPerSecond) / size.regions;
const opensPerGroup = size.requestsPerSecond / size.regions;
const megabyte = 1_000_000;
const retentionSeconds = 3600;
/**
 * Extrapolates a cost to the full size. Negative slopes count as zero, since
 * they are measurement noise.
 */
function atFullSize(byDaemonCount, byServerCount) {
  const daemons = Math.max(0, byDaemonCount.slope) * size.daemons;
  const servers = Math.max(0, byServerCount.slope) * (size.servers - 8);
  return byDaemonCount.intercept + daemons + servers;
}

const controlBytes = atFullSize(bytesByDaemons, bytesByServers);
const controlCore = atFullSize(coreByDaemons, coreByServers);
const streamCore =
  (perRouter.requests * streamCost.intercept +
    perRouter.tokens * streamCost.slope) /
  10_000;

const yesOrNo = isCarried => (isCarried ? 'yes' : '**no**');
const roles = [
  {
    role: 'router: requests and tokens',
    load: `${round(perRouter.requests)} requests/s, ${round(perRouter.tokens)} tokens/s`,
    'worked out': `${round(streamCore)}% of a core`,
    limit: 'one core',
    carried: yesOrNo(streamCore < 100),
  },
  {
    role: 'router: open streams',
    load: `${round(openStreams / routers)} streams`,
    'worked out': `${round(streamMemory.at(openStreams / routers))} MB resident`,
    limit: '—',
    carried: 'yes',
  },
  {
    role: 'router: routing decision',
    load: `${round(perRouter.requests)}/s among ${size.servers} servers`,
    'worked out': `${round((decision.at(size.servers) * perRouter.requests) / 10_000)}% of a core`,
    limit: `${size.coreSharePercent}%`,
    carried: yesOrNo(
      (decision.at(size.servers) * perRouter.requests) / 10_000 <
        size.coreSharePercent,
    ),
  },
  {
    role: 'control: membership and configuration, bytes',
    load: `${size.daemons} daemons, ${size.servers} servers`,
    'worked out': `${round(controlBytes)} KB/s`,
    limit: `${size.controlKilobytesPerSecond} KB/s`,
    carried: yesOrNo(controlBytes <= size.controlKilobytesPerSecond),
  },
  {
    role: 'control: membership and configuration, processor',
    load: `${size.daemons} daemons, ${size.servers} servers`,
    'worked out': `${round(controlCore)}% of a core`,
    limit: `${size.coreSharePercent}%`,
    carried: yesOrNo(controlCore <= size.coreSharePercent),
  },
  {
    role: 'ledger leader, one group for all',
    load: `${2 * size.requestsPerSecond} commands/s`,
    'worked out': `${round((2 * size.requestsPerSecond * consensusRow.cpuMicrosecondsPerCommand) / 3 / 10_000 + (size.requestsPerSecond * openSettleMicroseconds) / 10_000)}% of a core`,
    limit: 'one core',
    carried: yesOrNo(
      (2 * size.requestsPerSecond * consensusRow.cpuMicrosecondsPerCommand) /
        3 /
        10_000 +
        (size.requestsPerSecond * openSettleMicroseconds) / 10_000 <
        60,
    ),
  },
  {
    role: 'ledger leader, a group per region',
    load: `${round(commandsPerGroup)} commands/s`,
    'worked out': `${round((commandsPerGroup * consensusRow.cpuMicrosecondsPerCommand) / 3 / 10_000 + (opensPerGroup * openSettleMicroseconds) / 10_000)}% of a core, ${round((commandsPerGroup * consensusRow.bytesPerCommand) / 1000)} KB/s to disk`,
    limit: 'one core',
    carried: 'by the slope; the delegation between groups is not built',
  },
  {
    role: 'ledger replica, memory: budgets',
    load: `${size.budgets} in each group`,
    'worked out': `${round((size.budgets * budgetMemory) / megabyte)} MB`,
    limit: '—',
    carried: 'yes',
  },
  {
    role: 'ledger replica, memory: open requests',
    load: `${round(openStreams / size.regions)} in a group`,
    'worked out': `${round(((openStreams / size.regions) * openMemory) / megabyte)} MB`,
    limit: '—',
    carried: 'yes',
  },
  {
    role: `ledger replica, memory: settled keys kept for ${retentionSeconds} s`,
    load: `${round(opensPerGroup * retentionSeconds)} in a group`,
    'worked out': `${round((opensPerGroup * retentionSeconds * settledMemory) / megabyte)} MB`,
    limit: '—',
    carried: '**no**, 600 s would',
  },
  {
    role: 'ledger replica, memory: forgotten keys of a day',
    load: `${round(opensPerGroup * secondsPerDay)} in a group`,
    'worked out': `${round((opensPerGroup * secondsPerDay * forgottenMemory) / megabyte)} MB`,
    limit: '—',
    carried: '**no**, hours would',
  },
  {
    role: 'ledger replica, pause for a snapshot',
    load: `${size.budgets} budgets`,
    'worked out': `${round(snapshotPause)} ms, ${round(snapshotSize.at(size.budgets) / 1000)} MB`,
    limit: '620 ms to the first token',
    carried: yesOrNo(snapshotPause < 620),
  },
];

const configuration = changes.map(row => ({
  ...row,
  'at 11 s': yesOrNo(Number(row['in force everywhere, worst ms']) < 11_000),
}));

const sections = {
  slopes: table(slopes),
  roles: table(roles),
  changes: table(configuration),
};
let text = readFileSync(page, 'utf8');
for (const [name, content] of Object.entries(sections)) {
  const pattern = new RegExp(
    `(<!-- computed: ${name} -->\n)[\\s\\S]*?(<!-- end -->)`,
  );
  if (!pattern.test(text)) throw new Error(`${page} has no place for ${name}`);
  text = text.replace(
    pattern,
    (_, start, end) => `${start}\n${content}\n\n${end}`,
  );
}
writeFileSync(page, text);
