/**
 * @fileoverview Runs a stand-in in its own process:
 * `node standInMain.js '{"kind": "model", "port": 9000, …}'`. Prints
 * `{"msg": "ready", "url": …}` once it listens. SIGTERM makes it announce
 * `leaving`, finish its running calls and exit.
 */
import {ModelServer} from './standIn/modelServer.js';
import {defaultStandInOptions, type StandInOptions} from './standIn/options.js';
import {ServiceServer} from './standIn/serviceServer.js';

const constructors = {model: ModelServer, service: ServiceServer};

const argument = JSON.parse(
  process.argv[2] ?? '{}',
) as Partial<StandInOptions> & {
  kind?: keyof typeof constructors;
};
const {kind = 'model', ...options} = argument;
const standIn = new constructors[kind]({...defaultStandInOptions, ...options});
await standIn.start();
process.stdout.write(`${JSON.stringify({msg: 'ready', url: standIn.url})}\n`);
process.once('SIGTERM', () => void standIn.leave().then(() => process.exit(0)));
