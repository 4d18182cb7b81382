/**
 * @fileoverview Queues requests until the backend servers have capacity for
 * them. The admission controllers decide the order and what is shed.
 */
import {
  AdmissionController,
  admissionCapacity,
  type AdmissionRefusal,
  type AdmissionTicket,
  type Priority,
  type Target,
} from '@dogwoodtrestle/routing';

import {type BackendSelector} from './backendSelector.js';
import {type RequestDependencies} from './dependencies.js';
import {refusal} from './refusal.js';

/** Interval at which queued requests are dispatched, in milliseconds. */
const dispatchIntervalMilliseconds = 50;

/** A request that asks for admission. */
export interface AdmissionRequest {
  customer: string;
  workspace: string;
  priority: Priority;
  target: Target;
}

/** Callbacks of a request that waits for admission. */
interface QueuedRequest {
  admit: () => void;
  refuse: (refusal: AdmissionRefusal) => void;
}

/** Runs one admission controller for each model and service. */
export class AdmissionGate {
  private readonly controllers = new Map<string, AdmissionController>();
  private readonly queuedRequests = new Map<AdmissionTicket, QueuedRequest>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly dependencies: RequestDependencies,
    private readonly selector: BackendSelector,
  ) {}

  /**
   * Waits until a request is admitted.
   *
   * @returns A function that the caller runs once the request has ended.
   * @throws RefusalError if the request is shed, with the time after which to
   *     retry.
   */
  async acquire(request: AdmissionRequest): Promise<() => void> {
    const {now, settings} = this.dependencies;
    const admission = this.controllerOf(request.target);
    const outcome = admission.submit({
      customer: request.customer,
      workspace: request.workspace,
      priority: request.priority,
      deadline: now() + settings.requests.deadlineMilliseconds,
      now: now(),
    });
    if (outcome.kind === 'refused') {
      this.dispatch(admission);
      throw shedRefusal(outcome);
    }
    const {ticket} = outcome;
    if (outcome.kind === 'queued') await this.waitInQueue(admission, ticket);
    else this.dispatch(admission);
    return () => {
      admission.release(ticket, now());
      this.dispatch(admission);
    };
  }

  private waitInQueue(
    admission: AdmissionController,
    ticket: AdmissionTicket,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      this.queuedRequests.set(ticket, {
        admit: resolve,
        refuse: reason => reject(shedRefusal(reason)),
      });
      this.dispatch(admission);
      this.timer ??= setInterval(
        () => this.dispatchAll(),
        dispatchIntervalMilliseconds,
      );
    });
  }

  private dispatchAll(): void {
    for (const [key, admission] of this.controllers) {
      const [kind, name] = JSON.parse(key) as [Target['kind'], string];
      this.updateCapacity(admission, {kind, name});
      this.dispatch(admission);
    }
    if (this.queuedRequests.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private dispatch(admission: AdmissionController): void {
    const {started, refused} = admission.dispatch(this.dependencies.now());
    for (const ticket of started) this.removeQueued(ticket)?.admit();
    for (const {ticket, ...reason} of refused) {
      this.removeQueued(ticket)?.refuse(reason);
    }
  }

  private removeQueued(ticket: AdmissionTicket): QueuedRequest | undefined {
    const queuedRequest = this.queuedRequests.get(ticket);
    this.queuedRequests.delete(ticket);
    return queuedRequest;
  }

  private controllerOf(target: Target): AdmissionController {
    const key = JSON.stringify([target.kind, target.name]);
    let admission = this.controllers.get(key);
    if (admission === undefined) {
      admission = new AdmissionController({capacity: 1, random: Math.random});
      this.controllers.set(key, admission);
    }
    this.updateCapacity(admission, target);
    return admission;
  }

  private updateCapacity(admission: AdmissionController, target: Target): void {
    const {directory, instances, now} = this.dependencies;
    const capacity = admissionCapacity({
      candidates: directory.candidates(target, now()),
      loadCorrection: entry => this.selector.loadCorrection(entry),
      running: admission.runningCount,
      routerCount: Math.max(1, instances.liveRouters()),
    });
    admission.setCapacity(capacity);
  }
}

function shedRefusal({reason, retryAfterMilliseconds}: AdmissionRefusal) {
  return refusal('overloaded', {
    retryAfterSeconds: Math.max(1, Math.ceil(retryAfterMilliseconds / 1000)),
    inputs: {reason, retryAfterMilliseconds},
  });
}
