/**
 * @fileoverview Stand-in booking service with non-idempotent bookings, the
 * status of a lot, and the outcome of an attempt. Executions are written to a
 * file, so that a scenario can count them after the service was killed.
 */
import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';

import {type FastifyReply, type FastifyRequest} from 'fastify';

import {type StandInOptions} from './options.js';
import {type BackendDescription, StandInBase} from './standInBase.js';

/** One booking that was executed. */
export interface Execution {
  attempt: string;
  lot: string;
  /** Time in milliseconds since the epoch. */
  at: number;
}

const hangMilliseconds = 600_000;

/** A booking service. */
export class ServiceServer extends StandInBase {
  private readonly executions: Execution[];
  /** Attempts that were reported as not run, and are rejected from then on. */
  private readonly rejectedAttempts = new Set<string>();

  constructor(options: StandInOptions) {
    super(options);
    this.executions = readExecutions(options.recordFile);
    this.server.post('/bookings', (request, reply) =>
      this.countWhileRunning(() => this.book(request, reply)),
    );
    this.server.get('/lots/:lot', (request, reply) => {
      const {attempt} = this.recordCall(request);
      const {lot} = request.params as {lot: string};
      const bookings = this.executions.filter(each => each.lot === lot).length;
      reply.header('x-attempt-id', attempt);
      return {lot, state: bookings > 0 ? 'sold' : 'open', bookings};
    });
    this.server.get('/attempts/:attempt', request => {
      const {attempt} = request.params as {attempt: string};
      const execution = this.executions.find(each => each.attempt === attempt);
      if (execution === undefined) {
        this.rejectedAttempts.add(attempt); // it must not run later either
        return {outcome: 'didNotRun'};
      }
      return {
        outcome: 'ran',
        status: 201,
        contentType: 'application/json',
        body: JSON.stringify(createConfirmation(execution)),
      };
    });
    this.server.get('/control/executions', () => this.executions);
  }

  protected override describe(): BackendDescription {
    return {
      kind: 'service',
      service: {
        name: this.options.service,
        nonIdempotent: [{method: 'POST', path: '/bookings'}],
        readBackPath: '/attempts/{attempt}',
      },
    };
  }

  private async book(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const {attempt, failure} = this.recordCall(request);
    if (failure.kind === 'dropBeforeRun') return this.drop(request, reply);
    if (this.rejectedAttempts.has(attempt)) {
      return reply.code(409).header('x-attempt-id', attempt).send({});
    }
    const {lot} = request.body as {lot: string};
    const execution: Execution = {attempt, lot, at: Date.now()};
    this.executions.push(execution);
    if (this.options.recordFile !== undefined) {
      appendFileSync(this.options.recordFile, `${JSON.stringify(execution)}\n`);
    }
    if (failure.kind === 'dropAfterRun') return this.drop(request, reply);
    if (failure.kind === 'slow') await sleep(failure.milliseconds);
    if (failure.kind === 'hang') await sleep(hangMilliseconds);
    const echo = failure.kind === 'crossedId' ? `crossed-${attempt}` : attempt;
    return reply
      .code(201)
      .header('x-attempt-id', echo)
      .send(createConfirmation(execution));
  }
}

function createConfirmation({attempt, lot}: Execution): object {
  return {booking: `b-${attempt}`, lot, state: 'sold'};
}

/** Reads the executions of a service from its record file, if there is one. */
export function readExecutions(file: string | undefined): Execution[] {
  if (file === undefined || !existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as Execution);
}
