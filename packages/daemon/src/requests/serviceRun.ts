/**
 * @fileoverview Runs one opened call to a service.
 *
 * A non-idempotent call is sent at most once. If its connection failed, the
 * call is settled as not run and may be opened again for another server. If it
 * may have been received, the outcome is read back from the service, and stays
 * unknown if the service can't tell.
 */
import {type Context} from '@opentelemetry/api';
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type StoredAnswer} from '@dogwoodtrestle/schema';

import {type Hop, traceparentOf} from '../observability/tracing.js';
import {pause} from '../util/pause.js';
import {type ReadBack, storableAnswer} from '../util/readBack.js';
import {isFailedAttempt} from './attemptError.js';
import {serviceAttemptId} from './attemptIds.js';
import {type BackendSelector} from './backendSelector.js';
import {type RequestDependencies} from './dependencies.js';
import {type Explanation} from './explanations.js';
import {type OpenedRequest} from './openedRequest.js';
import {refusal} from './refusal.js';
import {type ServiceClient} from './serviceClient.js';
import {type RequestSettler} from './requestSettler.js';

/** Largest number of attempts at backend servers for an idempotent call. */
const maximumAttempts = 3;

/** Largest number of requests to read back the outcome of an attempt. */
const maximumReadBacks = 4;

/** Interval between two of these requests, in milliseconds. */
const readBackIntervalMilliseconds = 250;

/** Dependencies of a run. */
export interface ServiceRunParts {
  dependencies: RequestDependencies;
  services: ServiceClient;
  selector: BackendSelector;
  settler: RequestSettler;
}

/** One opened call to a service. */
export interface ServiceJob {
  requestId: string;
  service: string;
  method: string;
  path: string;
  contentType?: string;
  body: Buffer;
  idempotent: boolean;
  /** Price of the call, in micros. */
  callPrice: number;
  opened: OpenedRequest;
  context: Context;
  explanation: Explanation;
  signal: AbortSignal;
}

/**
 * Runs a call and bills it.
 *
 * @param first Backend server of the first attempt.
 * @returns The response, or `undefined` if a non-idempotent call never reached
 *     its server; it is then settled as not run.
 * @throws RefusalError if there is no response.
 */
export async function runService(
  parts: ServiceRunParts,
  job: ServiceJob,
  first: BackendEntry,
): Promise<StoredAnswer | undefined> {
  const tried = new Set<string>();
  let backend: BackendEntry | undefined = first;
  for (let attempt = 1; backend !== undefined; attempt++) {
    tried.add(backend.announcement.name);
    try {
      const answer = await callOnce(parts, job, backend, attempt);
      const billing = {
        cost: job.callPrice,
        outcome: 'completed',
        attempts: attempt,
      } as const;
      await settle(parts, job, {...billing, backend, answer});
      return answer;
    } catch (error) {
      const sent = recordFailure(parts, job, backend, error);
      if (!job.idempotent) {
        if (sent) return reconcile(parts, job, backend, attempt);
        await settle(parts, job, {
          cost: 0,
          outcome: 'didNotRun',
          attempts: attempt,
        });
        return undefined;
      }
      await requireRetry(parts, job, attempt);
    }
    backend = selectBackend(parts, job, tried);
  }
  await settle(parts, job, {cost: 0, outcome: 'cutOff', attempts: tried.size});
  throw refusal('backendFailed');
}

/**
 * Records a failed attempt and returns whether the server may have received it.
 *
 * @throws The error itself if it is not that of an attempt.
 */
function recordFailure(
  {dependencies}: ServiceRunParts,
  job: ServiceJob,
  backend: BackendEntry,
  error: unknown,
): boolean {
  if (!isFailedAttempt(error)) throw error;
  const {failure, sent} = error;
  dependencies.metrics.increment('attempts.failed', 1, {reason: failure});
  const {name} = backend.announcement;
  job.explanation.add('attempt failed', {backend: name, failure, sent});
  return sent;
}

/**
 * Takes a retry from the retry budget.
 *
 * @throws RefusalError if no further attempt is allowed; the call is then
 *     settled.
 */
async function requireRetry(
  parts: ServiceRunParts,
  job: ServiceJob,
  attempts: number,
): Promise<void> {
  const isExhausted = attempts >= maximumAttempts || job.signal.aborted;
  if (!isExhausted && parts.selector.mayRetry()) return;
  await settle(parts, job, {cost: 0, outcome: 'cutOff', attempts});
  throw refusal(job.signal.aborted ? 'deadlineExceeded' : 'backendFailed');
}

/**
 * Reads back the outcome of a sent call from the service, and settles it.
 *
 * @throws RefusalError if the call did not run or its outcome is unknown. With
 *     an unknown outcome the request stays open, so that a later retry can read
 *     it back.
 */
export async function reconcile(
  parts: ServiceRunParts,
  job: ServiceJob,
  backend: BackendEntry,
  attempts: number,
): Promise<StoredAnswer> {
  const attemptId = serviceAttemptId(job.opened);
  const readBack = await parts.dependencies.tracing.run(
    'router to backend server: read back',
    job.context,
    {'attempt.id': attemptId, backend: backend.announcement.name},
    () => pollReadBack(parts.services, backend, attemptId),
  );
  job.explanation.add('read back', {outcome: readBack.outcome});
  switch (readBack.outcome) {
    case 'ran':
      await settle(parts, job, {
        cost: job.callPrice,
        outcome: 'completed',
        attempts,
        backend,
        answer: readBack.answer,
      });
      return readBack.answer;
    case 'didNotRun':
      await settle(parts, job, {
        cost: 0,
        outcome: 'didNotRun',
        attempts,
        backend,
      });
      throw refusal('backendFailed', {didNotRun: true});
    case 'running':
    case 'unknown':
      throw refusal('outcomeUnknown');
  }
}

async function pollReadBack(
  services: ServiceClient,
  backend: BackendEntry,
  attemptId: string,
): Promise<ReadBack> {
  let last: ReadBack = {outcome: 'unknown'};
  for (let attempt = 0; attempt < maximumReadBacks; attempt++) {
    last = await services.readBack(backend, attemptId);
    if (last.outcome === 'ran' || last.outcome === 'didNotRun') return last;
    await pause(readBackIntervalMilliseconds);
  }
  return last;
}

/** Chooses the backend server of the next attempt and records the choice. */
export function selectBackend(
  {selector}: ServiceRunParts,
  {service, explanation}: Pick<ServiceJob, 'service' | 'explanation'>,
  tried: ReadonlySet<string>,
): BackendEntry | undefined {
  const choice = selector.choose({kind: 'service', name: service}, tried);
  explanation.add('choice', {
    chosen: choice.backend?.announcement.name,
    considered: choice.considered,
  });
  return choice.backend;
}

async function callOnce(
  {dependencies, services, selector}: ServiceRunParts,
  job: ServiceJob,
  backend: BackendEntry,
  attempt: number,
): Promise<StoredAnswer> {
  const attemptId = serviceAttemptId(job.opened);
  const hop: Hop =
    attempt === 1
      ? 'router to backend server'
      : 'router to backend server: retry';
  selector.recordStart(backend, attemptId);
  try {
    const answer = await dependencies.tracing.run(
      hop,
      job.context,
      {'attempt.id': attemptId, backend: backend.announcement.name},
      span =>
        services.call({
          backend,
          attemptId,
          method: job.method,
          path: job.path,
          contentType: job.contentType,
          body: job.body,
          traceparent: traceparentOf(span),
          signal: job.signal,
        }),
    );
    selector.recordEnd(backend, attemptId, 'success');
    return answer;
  } catch (error) {
    selector.recordEnd(
      backend,
      attemptId,
      job.signal.aborted ? 'neutral' : 'failure',
    );
    throw error;
  }
}

interface ServiceBilling {
  cost: number;
  outcome: 'completed' | 'didNotRun' | 'cutOff';
  attempts: number;
  backend?: BackendEntry;
  answer?: StoredAnswer;
}

async function settle(
  {settler}: ServiceRunParts,
  job: ServiceJob,
  {cost, outcome, attempts, backend, answer}: ServiceBilling,
): Promise<void> {
  job.explanation.add('settlement', {outcome, cost});
  await settler.settle(
    job.opened,
    {cost, outcome, attempts, backend: backend?.announcement.name},
    job.context,
    storableAnswer(answer),
  );
}
