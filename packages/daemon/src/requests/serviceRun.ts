/**
 * @fileoverview Runs one opened call to a service.
 *
 * A call that must not be repeated is sent once: another server is tried only
 * if the connection was never made. If the outcome of a sent call isn't known,
 * the service's read-back decides, and without one the outcome stays unknown.
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

/** Attempts at backend servers for one call. */
const maximumAttempts = 3;

/** Tries to read back the outcome of an attempt, and the pause between. */
const readBackTries = 4;
const readBackPauseMilliseconds = 250;

/** What a run works with. */
export interface ServiceRunParts {
  dependencies: RequestDependencies;
  services: ServiceClient;
  selector: BackendSelector;
  settler: RequestSettler;
}

/** One opened call. */
export interface ServiceJob {
  requestId: string;
  service: string;
  method: string;
  path: string;
  contentType?: string;
  body: Buffer;
  idempotent: boolean;
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
 * @returns The answer, or `undefined` if a call that must not be repeated
 *     never reached its server; it is then settled as not run.
 * @throws RefusalError where no answer came.
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
      const sent = noteFailure(parts, job, backend, error);
      if (!job.idempotent) {
        if (sent) return reconcile(parts, job, backend, attempt);
        await settle(parts, job, {
          cost: 0,
          outcome: 'didNotRun',
          attempts: attempt,
        });
        return undefined;
      }
      await checkRetry(parts, job, attempt);
    }
    backend = selectBackend(parts, job, tried);
  }
  await settle(parts, job, {cost: 0, outcome: 'cutOff', attempts: tried.size});
  throw refusal('backendFailed');
}

/** Counts a failed attempt and tells whether it may have reached its server. */
function noteFailure(
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

async function checkRetry(
  parts: ServiceRunParts,
  job: ServiceJob,
  attempts: number,
): Promise<void> {
  const isDone = attempts >= maximumAttempts || job.signal.aborted;
  if (!isDone && parts.selector.mayRetry()) return;
  await settle(parts, job, {cost: 0, outcome: 'cutOff', attempts});
  throw refusal(job.signal.aborted ? 'deadlineExceeded' : 'backendFailed');
}

/**
 * Learns the outcome of a sent call from the service.
 *
 * @throws RefusalError where it did not run or can't be learnt. An unknown
 *     outcome leaves the request open, so that a later retry can learn it.
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
    () => readBackRepeatedly(parts.services, backend, attemptId),
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

async function readBackRepeatedly(
  services: ServiceClient,
  backend: BackendEntry,
  attemptId: string,
): Promise<ReadBack> {
  let last: ReadBack = {outcome: 'unknown'};
  for (let attempt = 0; attempt < readBackTries; attempt++) {
    last = await services.readBack(backend, attemptId);
    if (last.outcome === 'ran' || last.outcome === 'didNotRun') return last;
    await pause(readBackPauseMilliseconds);
  }
  return last;
}

/** Chooses the backend server of the next attempt. */
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

interface Billing {
  cost: number;
  outcome: 'completed' | 'didNotRun' | 'cutOff';
  attempts: number;
  backend?: BackendEntry;
  answer?: StoredAnswer;
}

async function settle(
  {settler}: ServiceRunParts,
  job: ServiceJob,
  {cost, outcome, attempts, backend, answer}: Billing,
): Promise<void> {
  job.explanation.add('settlement', {outcome, cost});
  await settler.settle(
    job.opened,
    {cost, outcome, attempts, backend: backend?.announcement.name},
    job.context,
    storableAnswer(answer),
  );
}
