import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

import {main} from '../src/index.js';

/** Answer of the fake: status and body, or a closed connection. */
export type FakeAnswer = {status: number; body: unknown} | 'drop';

export interface FakeDaemon {
  url: string;
  requests: Array<{method: string; path: string; body: unknown}>;
  close: () => Promise<void>;
}

/** Starts a daemon that answers each call by `METHOD /path`. */
export async function startFakeDaemon(
  answers: Record<string, FakeAnswer>,
): Promise<FakeDaemon> {
  const requests: FakeDaemon['requests'] = [];
  const server: Server = createServer((request, response) => {
    void text(request).then(body => {
      const {method = '', url: path = ''} = request;
      requests.push({method, path, body: body === '' ? '' : JSON.parse(body)});
      const answer = answers[`${method} ${path}`] ?? {
        status: 404,
        body: {error: {code: 'notFound', message: path}},
      };
      if (answer === 'drop') return void request.socket.destroy();
      response.writeHead(answer.status).end(JSON.stringify(answer.body));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    requests,
    close: () => new Promise(resolve => server.close(() => resolve())),
  };
}

/** Runs the command line and collects what it wrote. */
export async function run(
  args: string[],
): Promise<{exitCode: number; stdout: string; stderr: string}> {
  const written = {stdout: '', stderr: ''};
  const exitCode = await main(args, {
    stdout: {write: (part: string) => (written.stdout += part)},
    stderr: {write: (part: string) => (written.stderr += part)},
    env: {DOGWOODTRESTLE_OPERATOR_KEY: 'key'},
  });
  return {exitCode, ...written};
}
