/**
 * @fileoverview Lets requests through to the backend servers as these have
 * room, in the order that admission decides.
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

/** Interval at which waiting requests are looked at, in milliseconds. */
const turnIntervalMilliseconds = 50;

/** A request that wants to get through. */
export interface AdmissionRequest {
  customer: string;
  workspace: string;
  priority: Priority;
  target: Target;
}

interface Waiter {
  admit: () => void;
  refuse: (refusal: AdmissionRefusal) => void;
}

/** Admission for each model and service. */
export class AdmissionGate {
  private readonly admissions = new Map<string, AdmissionController>();
  private readonly waiters = new Map<AdmissionTicket, Waiter>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly dependencies: RequestDependencies,
    private readonly selector: BackendSelector,
  ) {}

  /**
   * Waits until a request may go on.
   *
   * @returns A function to call once the request has ended.
   * @throws RefusalError where the request is shed, with the time to return.
   */
  async acquire(request: AdmissionRequest): Promise<() => void> {
    const {now, settings} = this.dependencies;
    const admission = this.admissionOf(request.target);
    const outcome = admission.submit({
      customer: request.customer,
      workspace: request.workspace,
      priority: request.priority,
      deadline: now() + settings.requests.deadlineMilliseconds,
      now: now(),
    });
    if (outcome.kind === 'refused') {
      this.turn(admission);
      throw shedRefusal(outcome);
    }
    const {ticket} = outcome;
    if (outcome.kind === 'queued') await this.wait(admission, ticket);
    else this.turn(admission);
    return () => {
      admission.release(ticket, now());
      this.turn(admission);
    };
  }

  private wait(
    admission: AdmissionController,
    ticket: AdmissionTicket,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiters.set(ticket, {
        admit: resolve,
        refuse: reason => reject(shedRefusal(reason)),
      });
      this.turn(admission);
      this.timer ??= setInterval(
        () => this.turnAll(),
        turnIntervalMilliseconds,
      );
    });
  }

  private turnAll(): void {
    for (const [key, admission] of this.admissions) {
      const [kind, name] = JSON.parse(key) as [Target['kind'], string];
      this.updateCapacity(admission, {kind, name});
      this.turn(admission);
    }
    if (this.waiters.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private turn(admission: AdmissionController): void {
    const {started, refused} = admission.dispatch(this.dependencies.now());
    for (const ticket of started) this.take(ticket)?.admit();
    for (const {ticket, ...reason} of refused) {
      this.take(ticket)?.refuse(reason);
    }
  }

  private take(ticket: AdmissionTicket): Waiter | undefined {
    const waiter = this.waiters.get(ticket);
    this.waiters.delete(ticket);
    return waiter;
  }

  private admissionOf(target: Target): AdmissionController {
    const key = JSON.stringify([target.kind, target.name]);
    let admission = this.admissions.get(key);
    if (admission === undefined) {
      admission = new AdmissionController({capacity: 1, random: Math.random});
      this.admissions.set(key, admission);
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
