/**
 * @fileoverview Fails when a name of the users' platform stands outside the
 * adapter: headers, calls, field names and the settings variable.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

/** Folders that may know the names. */
const allowed = /^(platform|deploy|docs|journal)\//;

/** Names that only the platform uses. */
const names =
  /X-Dogwoodtrestle-(Attempt|Time|Not|Expected|Token|Prompt|Response|Tenant|Key|Model|Request|Instance|Weight|Length|Pin|Hold|Kv)|DOGWOODTRESTLE_BOOT|Configuration\.(Replace|Read)|Instances\.(Heartbeat|Leave)|kvCacheTokens|gapGoalMs|latencyGoalMs|apiKeys|seedAddresses|frontendAddress|kv-(handle|move|pin)|heartbeatAddress/i;

const files = execFileSync('git', ['ls-files', '*.ts', '*.yaml', '*.feature'], {
  encoding: 'utf8',
})
  .split('\n')
  .filter(file => file !== '' && !allowed.test(file));

const findings = files.flatMap(file =>
  readFileSync(file, 'utf8')
    .split('\n')
    .flatMap((line, index) =>
      names.test(line) ? [`${file}:${index + 1}: ${line.trim()}`] : [],
    ),
);

for (const finding of findings) console.log(finding);
if (findings.length > 0) {
  console.log(`${findings.length} names of the platform outside platform/`);
  process.exitCode = 1;
}
