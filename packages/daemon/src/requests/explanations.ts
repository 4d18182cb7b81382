/**
 * @fileoverview Records the decisions on recent requests and their inputs, for
 * operators.
 */
import {type DecisionStep, type ExplanationView} from '@dogwoodtrestle/schema';

/** Largest number of requests whose decisions are kept. */
const maximumExplanations = 10000;

/** Largest number of steps kept for one request. */
const maximumSteps = 40;

/** Decisions about one request. */
export class Explanation {
  readonly steps: DecisionStep[] = [];
  requestKey?: string;
  customer?: string;
  workspace?: string;
  code?: string;
  message?: string;

  constructor(
    readonly requestId: string,
    readonly traceId: string,
  ) {}

  /** Adds a decision with its inputs; ignored beyond `maximumSteps`. */
  add(step: string, detail: Record<string, unknown>): void {
    if (this.steps.length >= maximumSteps) return;
    this.steps.push({at: Date.now(), step, detail});
  }
}

/** Keeps the explanations of the newest requests. */
export class Explanations {
  private readonly byRequest = new Map<string, Explanation>();

  /** Creates the explanation of a new request and evicts the oldest. */
  create(requestId: string, traceId: string): Explanation {
    const explanation = new Explanation(requestId, traceId);
    this.byRequest.set(requestId, explanation);
    if (this.byRequest.size > maximumExplanations) {
      const oldest = this.byRequest.keys().next();
      if (!oldest.done) this.byRequest.delete(oldest.value);
    }
    return explanation;
  }

  /** Returns the explanation of a request as operators see it. */
  view(requestId: string): ExplanationView {
    const explanation = this.byRequest.get(requestId);
    if (explanation === undefined) return {requestId, found: false};
    const {requestKey, traceId, customer, workspace, code, message, steps} =
      explanation;
    return {
      requestId,
      found: true,
      requestKey,
      traceId,
      customer,
      workspace,
      code,
      message,
      steps,
      status: code === undefined ? 'unknown' : 'refused',
    };
  }
}
