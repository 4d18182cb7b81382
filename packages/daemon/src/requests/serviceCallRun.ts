/**
 * @fileoverview One call to a service, from its opening to its answer.
 *
 * A call that must not be repeated names its backend server in the durable
 * record before it is sent, so that whoever gets the caller's retry knows
 * where to ask what became of it.
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

/** Times that one request is opened anew: newer contracts, dead servers. */
const maximumOpenings = 6;

/**
 * A non-idempotent call is sent this soon after its opening was asked for, or
 * not at all. Instances are taken for gone only after a longer silence.
 */
const sendWithinMilliseconds = 2000;

/** What the handler works with. */
export interface ServiceHandlerParts extends ServiceRunParts {
  opener: RequestOpener;
  limiter: ContractLimiter;
}

/** What is known of a call before it is opened. */
export type CallTemplate = Omit<ServiceJob, 'opened' | 'callPrice'>;

/** One call from its opening to its answer. */
export class ServiceCallRun {
  private readonly excluded = new Set<string>();

  constructor(
    private readonly parts: ServiceHandlerParts,
    private readonly running: Map<string, Promise<StoredAnswer>>,
    private readonly scope: RequestScope,
    private template: CallTemplate,
    private readonly key: RequestKey,
  ) {}

  async serve(caller: Caller): Promise<StoredAnswer> {
    let current = caller;
    for (let openings = 0; openings < maximumOpenings; openings++) {
      const callPrice = this.priceUnder(current);
      if (callPrice === undefined) {
        current = await this.refreshForService(current);
        continue;
      }
      const backend = selectBackend(this.parts, this.template, this.excluded);
      this.noteOffer(backend);
      const sinceAsked = new Stopwatch(systemClock);
      const opening = await this.open(current, callPrice, backend);
      if (opening.kind === 'staleContract') {
        current = await refreshCaller(this.parts.dependencies, current);
        continue;
      }
      if (opening.kind === 'duplicate') {
        return this.join(opening.result, callPrice);
      }
      if (backend === undefined) throw refusal('noBackend');
      const isTooLate = sinceAsked.isOver(sendWithinMilliseconds);
      if (isTooLate && !this.template.idempotent) {
        await this.giveBack(opening.opened);
        continue;
      }
      const answer = await this.run(opening.opened, callPrice, backend);
      if (answer !== undefined) return answer;
      this.excluded.add(backend.announcement.name);
    }
    throw refusal('overloaded');
  }

  /**
   * Takes in what the chosen server says of the call: it may have announced
   * itself only after the call came.
   */
  private noteOffer(backend: BackendEntry | undefined): void {
    const {method, path, idempotent} = this.template;
    const patterns = backend?.announcement.service?.nonIdempotent ?? [];
    if (!idempotent || !isNonIdempotent(patterns, method, path)) return;
    if (!this.key.fromCaller) throw refusal('idempotencyKeyRequired');
    this.template = {...this.template, idempotent: false};
  }

  private priceUnder({view}: Caller): number | undefined {
    return view.contract.services.find(
      terms => terms.name === this.template.service,
    )?.callPrice;
  }

  /** Refuses the service only under the newest contract. */
  private async refreshForService(caller: Caller): Promise<Caller> {
    const newest = await refreshCaller(this.parts.dependencies, caller);
    if (this.priceUnder(newest) === undefined) {
      const {service} = this.template;
      throw refusal('serviceNotAllowed', {
        message: `The contract does not include the service '${service}'.`,
        inputs: {service, contractVersion: newest.view.version},
      });
    }
    return newest;
  }

  /** Opens the call; without a server to send it to only a repeated one. */
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
   * Settles an opening that came too late to be used. This process may have
   * been frozen, and others may have taken it for gone and asked the service.
   */
  private async giveBack(opened: OpenedRequest): Promise<void> {
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
    shared.catch(() => undefined); // the first caller sees the failure itself
    this.running.set(this.key.requestKey, shared);
    try {
      return await run;
    } finally {
      this.running.delete(this.key.requestKey);
    }
  }

  /** Finds the answer of a call that was opened before. */
  private async join(
    result: DuplicateResult,
    callPrice: number,
  ): Promise<StoredAnswer> {
    const {dependencies, opener} = this.parts;
    if (result.answer !== undefined) return result.answer;
    if (result.status === 'settled') throw responseNotKept(result);
    const running = this.running.get(this.key.requestKey);
    if (running !== undefined) return running;
    const isElsewhere =
      result.holder !== dependencies.holder &&
      dependencies.instances.isAlive(result.holder);
    if (isElsewhere) throw refusal('requestRunning');
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
    return this.learnOutcome(result, callPrice);
  }

  /** Asks the server that an unfinished call went to what became of it. */
  private async learnOutcome(
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
