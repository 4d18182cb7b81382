/**
 * @fileoverview Writes docs/MEASUREMENTS.md from the benchmark results in
 * docs/measurements.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** Name, title and description of each benchmark, in the order of the page. */
const benches = [
  [
    'overhead',
    'Delay and throughput of one router',
    'Requests one after another to the stand-in and through the router in turns, then 64 at once for 5 s to each. The router makes two commits for a request, opening and settlement, each synced on two of three replicas; daemons, replicas, stand-in and load share the machine.',
  ],
  [
    'streams',
    "A router's processor time by the length of answers",
    '600 streamed answers, 32 at once, through a router without a replica.',
  ],
  [
    'open-streams',
    "A router's memory by open streams",
    'Streams of 200 ms a token, opened and left running.',
  ],
  [
    'control',
    'What control costs a daemon',
    'No requests. Bytes are bodies of calls between instances, sent and received; processor time includes the answers to announcements, of which every server sends one a second to every daemon.',
  ],
  [
    'changes',
    'Time until a change is in force',
    '8 daemons, a change after another; in force means that every daemon that is not frozen shows the revision as its own. Fewer than 50 changes under load and with a frozen router, for want of time.',
  ],
  [
    'consensus',
    'Commands through three replicas',
    'One process, one disk, commands of 400 bytes.',
  ],
  [
    'ledger',
    'Cost of the ledger as budgets grow',
    'One process, no network, no disk.',
  ],
  ['routing-decision', 'Time of one routing decision', ''],
  [
    'gossip',
    'One exchange between two instances',
    'Every record renewed since the last.',
  ],
  [
    'money',
    'Overspend and false refusals',
    'See docs/decisions/money-grants.md.',
  ],
];

function cell(value) {
  if (typeof value !== 'number') return value;
  if (Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2);
}

function table(rows) {
  const columns = Object.keys(rows[0]);
  return [
    columns,
    columns.map(() => '---'),
    ...rows.map(row => columns.map(name => cell(row[name]))),
  ]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

const sections = benches.flatMap(([name, title, text]) => {
  const file = `docs/measurements/${name}.json`;
  if (!existsSync(file)) return [];
  const rows = JSON.parse(readFileSync(file, 'utf8'));
  return [`## ${title}`, `\`npm run bench -- ${name}\``, text, table(rows)];
});

writeFileSync(
  'docs/MEASUREMENTS.md',
  [
    '# Measurements',
    'One run of each on one machine with 10 cores and a local disk, 2026-12-03, written from docs/measurements by `node scripts/measurements.mjs`. `overhead`, `records`, `control` and `changes` ran with nothing else on the machine; `streams`, `open-streams`, `consensus`, `ledger`, `routing-decision` and `gossip` ran while the scenarios of a CI run used the machine (load 3.4 to 3.9). A second run may differ by some tens of percent. The routing policy has its tables in [decisions/routing-policy.md](decisions/routing-policy.md).',
    ...sections,
  ]
    .filter(part => part !== '')
    .join('\n\n') + '\n',
);
