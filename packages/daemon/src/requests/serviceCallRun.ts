/**
 * @fileoverview Runs one call to a service, from its opening to its response.
 *
 * The durable record of a non-idempotent call names its backend server before
 * the call is sent, so that the instance that gets the caller's retry knows
 * which server to ask for the outcome.
 */
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {type DuplicateResult, type StoredAnswer} from '@dogwoodtrestle/schema';

import {Stopwatch} from '../util/stopwatch.js';
import {systemClock} from '@dogwoodtrestle/runtime';
import {responseNotKept} from './responseNotKept.js';
import {type ContractLimiter} from './contractLimiter.js';
import {type OpenedRequest} from './openedRequest.js';
import {type RequestOpener, type OpenResult} from './requestOpener.js';
import {refusal} from './refusal.js';
import {refreshCaller} from './refreshCaller.js';
import {fingerprintOf} from './requestKey.js';
import {
  type Caller,
  type RequestKey,
  type RequestScope,
} from './requestScope.js';
import {isNonIdempotent} from './serviceClient.js';
import {
  reconcile,
  runService,
  selectBackend,
  type ServiceJob,
  type ServiceRunParts,
} from './serviceRun.js';

/**
 * Largest number of times that a call is opened; it is opened again under a
 * newer contract, after a late opening, or if its server was unreachable.
 */
const maximumOpenAttempts = 6;

/**
 * Longest time from submitting the opening of a non-idempotent call to sending
 * the call, in milliseconds. It is shorter than the silence after which other
 * instances consider this one lost and ask the service for the outcome.
 */
const sendWithinMilliseconds = 2000;

/** Dependencies of the service handler. */
export interface ServiceHandlerParts extends ServiceRunParts {
  opener: RequestOpener;
  limiter: ContractLimiter;
}

/** The properties of a call that are known before it is opened. */
export type CallTemplate = Omit<ServiceJob, 'opened' | 'callPrice'>;

/** Opens, runs and joins one call. */
export class ServiceCallRun {
  private readonly excluded = new Set<string>();

  constructor(
    private readonly parts: ServiceHandlerParts,
    private readonly running: Map<string, Promise<StoredAnswer>>,
    private readonly scope: RequestScope,
    private template: CallTemplate,
    private readonly key: RequestKey,
  ) {}

  /**
   * Returns the response to the call.
   *
   * @throws RefusalError if there is none.
   */
  async serve(caller: Caller): Promise<StoredAnswer> {
    let current = caller;
    for (let openings = 0; openings < maximumOpenAttempts; openings++) {
      const callPrice = this.callPriceUnder(current);
      if (callPrice === undefined) {
        current = await this.refreshForCallPrice(current);
        continue;
      }
      const backend = selectBackend(this.parts, this.template, this.excluded);
      this.applyIdempotencyOf(backend);
      const sinceOpenSubmitted = new Stopwatch(systemClock);
      const opening = await this.open(current, callPrice, backend);
      if (opening.kind === 'staleContract') {
        current = await refreshCaller(this.parts.dependencies, current);
        continue;
      }
      if (opening.kind === 'duplicate') {
        return this.join(opening.result, callPrice);
      }
      if (backend === undefined) throw refusal('noBackend');
      const isTooLate = sinceOpenSubmitted.hasElapsed(sendWithinMilliseconds);
      if (isTooLate && !this.template.idempotent) {
        await this.settleUnsent(opening.opened);
        continue;
      }
      const answer = await this.run(opening.opened, callPrice, backend);
      if (answer !== undefined) return answer;
      this.excluded.add(backend.announcement.name);
    }
    throw refusal('overloaded');
  }

  /**
   * Treats the call as non-idempotent if the chosen server's announcement says
   * so. The server may have announced itself after the call arrived.
   */
  private applyIdempotencyOf(backend: BackendEntry | undefined): void {
    const {method, path, idempotent} = this.template;
    const patterns = backend?.announcement.service?.nonIdempotent ?? [];
    if (!idempotent || !isNonIdempotent(patterns, method, path)) return;
    if (!this.key.fromCaller) throw refusal('idempotencyKeyRequired');
    this.template = {...this.template, idempotent: false};
  }

  private callPriceUnder({view}: Caller): number | undefined {
    return view.contract.services.find(
      terms => terms.name === this.template.service,
    )?.callPrice;
  }

  /**
   * Returns the caller with the newest contract.
   *
   * @throws RefusalError if that contract does not include the service.
   */
  private async refreshForCallPrice(caller: Caller): Promise<Caller> {
    const newest = await refreshCaller(this.parts.dependencies, caller);
    if (this.callPriceUnder(newest) === undefined) {
      const {service} = this.template;
      throw refusal('serviceNotAllowed', {
        message: `The contract does not include the service '${service}'.`,
        inputs: {service, contractVersion: newest.view.version},
      });
    }
    return newest;
  }

  /** Opens the call; refuses it if there is no backend server for it. */
  private async open(
    caller: Caller,
    callPrice: number,
    backend: BackendEntry | undefined,
  ): Promise<OpenResult> {
    if (backend === undefined) throw refusal('noBackend');
    const {opener, dependencies} = this.parts;
    const {service, idempotent, method, path, body} = this.template;
    return opener.open(
      {
        kind: 'openRequest',
        requestKey: this.key.requestKey,
        fingerprint: fingerprintOf(['service', service, method, path, body]),
        customer: caller.view.contract.customer,
        workspace: caller.workspace.name,
        target: {kind: 'service', name: service},
        maximumCost: callPrice,
        unknownCost: callPrice,
        contractVersion: caller.view.version,
        holder: dependencies.holder,
        idempotent,
        ...(idempotent ? {} : {backend: backend.announcement.name}),
        traceId: this.scope.traceId,
      },
      this.template.context,
      caller.view.contract.partition.exhaustionWaitMilliseconds,
    );
  }

  /**
   * Settles an opening that completed too late, as not run. This process may
   * have been paused, and other instances may have considered it lost and asked
   * the service for the outcome, so that the call must not be sent any more.
   */
  private async settleUnsent(opened: OpenedRequest): Promise<void> {
    this.template.explanation.add('too late to send', {
      sendWithinMilliseconds,
    });
    const settlement = {cost: 0, outcome: 'didNotRun', attempts: 0} as const;
    await this.parts.settler.settle(opened, settlement, this.template.context);
  }

  private async run(
    opened: OpenedRequest,
    callPrice: number,
    backend: BackendEntry,
  ): Promise<StoredAnswer | undefined> {
    const run = runService(
      this.parts,
      {...this.template, opened, callPrice},
      backend,
    );
    const shared = run.then(answer => {
      if (answer === undefined) throw refusal('requestRunning');
      return answer;
    });
    shared.catch(() => undefined); // the first caller gets the error from `run`
    this.running.set(this.key.requestKey, shared);
    try {
      return await run;
    } finally {
      this.running.delete(this.key.requestKey);
    }
  }

  /**
   * Returns the response to a call that was opened before: the stored one, that
   * of the running call, or that of a new run if the holder no longer runs.
   */
  private async join(
    result: DuplicateResult,
    callPrice: number,
  ): Promise<StoredAnswer> {
    const {dependencies, opener} = this.parts;
    if (result.answer !== undefined) return result.answer;
    if (result.status === 'settled') throw responseNotKept(result);
    const running = this.running.get(this.key.requestKey);
    if (running !== undefined) return running;
    const isRunningElsewhere =
      result.holder !== dependencies.holder &&
      dependencies.instances.isAlive(result.holder);
    if (isRunningElsewhere) throw refusal('requestRunning');
    if (result.idempotent) {
      const opened = await opener.adopt(result);
      const backend = selectBackend(this.parts, this.template, this.excluded);
      if (opened === undefined) throw refusal('requestRunning');
      if (backend === undefined) {
        throw refusal('noBackend', {didNotRun: 'unknown'});
      }
      const answer = await this.run(opened, callPrice, backend);
      if (answer === undefined) throw refusal('backendFailed');
      return answer;
    }
    return this.reconcileUnfinished(result, callPrice);
  }

  /** Asks the recorded backend server for the outcome of an unfinished call. */
  private async reconcileUnfinished(
    result: DuplicateResult,
    callPrice: number,
  ): Promise<StoredAnswer> {
    const {directory} = this.parts.dependencies;
    const backend =
      result.backend === undefined ? undefined : directory.get(result.backend);
    if (backend === undefined) throw refusal('outcomeUnknown');
    const opened: OpenedRequest = {
      by: 'quorum',
      requestKey: result.requestKey,
      attempt: result.attempt,
      reserved: callPrice,
    };
    return reconcile(
      this.parts,
      {...this.template, opened, callPrice},
      backend,
      1,
    );
  }
}
