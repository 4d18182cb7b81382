/**
 * @fileoverview Queries backend servers for the outcome of an abandoned request.
 *
 * The ledger doesn't record which server ran a request, so all servers that
 * offer its target are queried for all attempt ids that it can have had.
 */
import {type OpenRequestRecord} from '@dogwoodtrestle/ledger';
import {
  type BackendEntry,
  type BackendDirectory,
} from '@dogwoodtrestle/routing';
import {type Target} from '@dogwoodtrestle/schema';
import {request as sendRequest} from 'undici';

import {type Clock} from '@dogwoodtrestle/runtime';
import {readBody} from '../requests/backendHttp.js';
import {createConnector} from '../requests/backendSocket.js';
import {parseReadBack} from '../util/readBack.js';
import {createUnkeptAgent} from '../util/unkeptAgent.js';
import {type BackendOutcome} from './abandonedRequestSettler.js';

/** Options of the client. */
export interface BackendOutcomeClientOptions {
  directory: Pick<BackendDirectory, 'entries'>;
  /** Possible attempt ids of a request. */
  attemptIds: (request: OpenRequestRecord) => string[];
  clock: Clock;
}

/** Queries backend servers about abandoned requests. */
export class BackendOutcomeClient {
  constructor(private readonly options: BackendOutcomeClientOptions) {}

  async fetchOutcome(request: OpenRequestRecord): Promise<BackendOutcome> {
    const ids = this.options.attemptIds(request);
    const queries = this.servers(request.target).flatMap(server =>
      ids.map(id => outcomeQueries[request.target.kind](server, id, request)),
    );
    return combineOutcomes(await Promise.all(queries));
  }

  private servers({kind, name}: Target): BackendEntry[] {
    const {directory, clock} = this.options;
    return directory
      .entries(clock.now())
      .filter(({entry: {announcement}}) =>
        kind === 'service'
          ? announcement.service?.name === name
          : announcement.models.some(model => model.name === name),
      )
      .map(({entry}) => entry);
  }
}

type OutcomeQuery = (
  server: BackendEntry,
  attemptId: string,
  request: OpenRequestRecord,
) => Promise<BackendOutcome>;

const outcomeQueries: Record<Target['kind'], OutcomeQuery> = {
  model: queryModelServer,
  service: queryServiceServer,
};

const timeoutMilliseconds = 2000;

/** Largest report, in bytes: an answer of 1 MiB, each character escaped. */
const maximumReportBytes = 8388608;

const unknown: BackendOutcome = {kind: 'unknown'};

interface AttemptReport {
  state?: 'running' | 'finished' | 'cancelled';
  usage?: {prompt_tokens?: number; completion_tokens?: number};
}

async function queryModelServer(
  {announcement}: BackendEntry,
  attemptId: string,
  {inputPrice, outputPrice}: OpenRequestRecord,
): Promise<BackendOutcome> {
  if (!announcement.features.attemptReport) return unknown;
  const path = `/v1/attempts/${encodeURIComponent(attemptId)}`;
  const report = await get<AttemptReport>(announcement.url + path);
  if (report?.state === 'running') return {kind: 'running'};
  if (report?.usage === undefined) return unknown;
  const inputTokens = report.usage.prompt_tokens ?? 0;
  const outputTokens = report.usage.completion_tokens ?? 0;
  return {
    kind: 'ended',
    outcome: report.state === 'finished' ? 'completed' : 'cutOff',
    cost: inputTokens * inputPrice + outputTokens * outputPrice,
    usage: {inputTokens, outputTokens},
    backend: announcement.name,
  };
}

async function queryServiceServer(
  {announcement}: BackendEntry,
  attemptId: string,
  {inputPrice}: OpenRequestRecord,
): Promise<BackendOutcome> {
  const template = announcement.service?.readBackPath;
  if (template === undefined) return unknown;
  const path = template.replace('{attempt}', encodeURIComponent(attemptId));
  const report = parseReadBack(await get<unknown>(announcement.url + path));
  if (report.outcome === 'running') return {kind: 'running'};
  if (report.outcome !== 'ran') return unknown;
  return {
    kind: 'ended',
    outcome: 'completed',
    cost: inputPrice,
    backend: announcement.name,
    answer: report.answer,
  };
}

/**
 * Only a report of a server that ran an attempt is conclusive. A server that
 * didn't run it proves nothing, since one that is no longer known may have.
 */
function combineOutcomes(outcomes: BackendOutcome[]): BackendOutcome {
  return (
    outcomes.find(({kind}) => kind === 'running') ??
    outcomes.find(({kind}) => kind === 'ended') ??
    unknown
  );
}

/** Reports don't tell of which attempt they are. */
const dispatcher = createUnkeptAgent({
  connect: createConnector({maximumBodyBytes: maximumReportBytes}),
});

async function get<T>(url: string): Promise<T | undefined> {
  try {
    const response = await sendRequest(url, {
      dispatcher,
      signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    const body = await readBody(response.body, maximumReportBytes);
    return response.statusCode === 200 ? (JSON.parse(body) as T) : undefined;
  } catch {
    return undefined;
  }
}
