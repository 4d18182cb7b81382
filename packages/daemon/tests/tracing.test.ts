import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import os from 'node:os';
import path from 'node:path';

import {ROOT_CONTEXT} from '@opentelemetry/api';
import {expect, it} from 'vitest';

import {contextOf, createTracing} from '../src/observability/tracing.js';
import {settingsOf} from './requests/fixture.js';

it('writes spans with their parents to a file', async () => {
  const folder = await mkdtemp(path.join(os.tmpdir(), 'spans-'));
  const file = path.join(folder, 'spans.jsonl');
  const tracing = createTracing({...settingsOf(), traces: {file}});
  const parent = tracing.start('caller to router', ROOT_CONTEXT);
  await tracing.run(
    'router to ledger: open',
    contextOf(parent),
    {},
    async () => {},
  );
  parent.end();
  await tracing.close();
  const lines = (await readFile(file, 'utf8')).trim().split('\n');
  const spans = lines.map(line => JSON.parse(line) as Record<string, string>);
  await rm(folder, {recursive: true});
  expect(spans.map(({name}) => name)).toEqual([
    'router to ledger: open',
    'caller to router',
  ]);
  expect(spans[0]?.['parentSpanId']).toBe(spans[1]?.['spanId']);
  expect(spans[0]?.['traceId']).toBe(spans[1]?.['traceId']);
});

it('sends spans to an OTLP endpoint', async () => {
  const paths: (string | undefined)[] = [];
  const collector = createServer((request, response) => {
    paths.push(request.url);
    request.resume().on('end', () => response.end('{}'));
  });
  await new Promise<void>(resolve => {
    collector.listen(0, '127.0.0.1', resolve);
  });
  const {port} = collector.address() as AddressInfo;
  const otlpUrl = `http://127.0.0.1:${port}/v1/traces`;
  const tracing = createTracing({...settingsOf(), traces: {otlpUrl}});
  tracing.start('caller to router', ROOT_CONTEXT).end();
  await tracing.close();
  collector.closeAllConnections();
  collector.close();
  expect(paths).toEqual(['/v1/traces']);
});
