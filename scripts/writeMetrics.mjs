/**
 * @fileoverview Generates docs/operators/metrics.md from the table of metrics.
 */
import {writeFileSync} from 'node:fs';

import {metricTable} from '../packages/daemon/dist/observability/metrics.js';

const rows = Object.entries(metricTable).map(
  ([name, {kind, unit, meaning}]) =>
    `| \`dogwoodtrestle.${name}\` | ${kind} | ${unit} | ${meaning} |`,
);
writeFileSync(
  'docs/operators/metrics.md',
  [
    '# Metrics',
    '',
    'With `metrics.statsdHost` in the settings each daemon sends these to a StatsD collector over UDP. All carry the tags `instance` and `failure_domain`. This page is written by `node scripts/writeMetrics.mjs`.',
    '',
    '| name | kind | unit | meaning |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n'),
);
