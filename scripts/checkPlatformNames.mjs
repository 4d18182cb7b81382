/**
 * @fileoverview Fails if a name of the users' platform (a header, call, field or
 * settings variable) is used outside the adapter.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

/** Folders in which the names are allowed. */
const allowed = /^(platform|deploy|docs|journal)\//;

/** Names that belong to the platform. */
const names =
  /X-Dogwoodtrestle-(Attempt|Time|Not|Expected|Token|Prompt|Response|Tenant|Key|Model|Request|Instance|Weight|Length|Pin|Hold|Kv)|DOGWOODTRESTLE_BOOT|Configuration\.(Replace|Read)|Instances\.(Heartbeat|Leave)|Evacuation\.(Start|Finish)|evacuationMs|kvCacheTokens|gapGoalMs|latencyGoalMs|apiKeys|seedAddresses|frontendAddress|kv-(handle|move|pin)|heartbeatAddress/i;

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
