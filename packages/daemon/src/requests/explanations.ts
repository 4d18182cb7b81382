/**
 * @fileoverview What was decided for each recent request, and on what inputs.
 */
import {type DecisionStep, type ExplanationView} from '@dogwoodtrestle/schema';

/** Requests whose decisions are kept. */
const maximumExplanations = 10000;

/** Steps that are kept for one request. */
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

  /** Adds a decision with its inputs. */
  add(step: string, detail: Record<string, unknown>): void {
    if (this.steps.length >= maximumSteps) return;
    this.steps.push({at: Date.now(), step, detail});
  }
}

/** Keeps the newest explanations. */
export class Explanations {
  private readonly byRequest = new Map<string, Explanation>();

  create(requestId: string, traceId: string): Explanation {
    const explanation = new Explanation(requestId, traceId);
    this.byRequest.set(requestId, explanation);
    if (this.byRequest.size > maximumExplanations) {
      const oldest = this.byRequest.keys().next();
      if (!oldest.done) this.byRequest.delete(oldest.value);
    }
    return explanation;
  }

  /** Renders what is known of a request. */
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
