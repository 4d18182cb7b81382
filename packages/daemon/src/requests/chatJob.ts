/**
 * @fileoverview Types of a run of one opened chat request.
 */
import {type Context} from '@opentelemetry/api';
import {type BackendEntry} from '@dogwoodtrestle/routing';
import {
  type ModelTerms,
  type RequestOutcome,
  type Usage,
} from '@dogwoodtrestle/schema';

import {type ResponseBuffer} from './responseBuffer.js';
import {type BackendSelector} from './backendSelector.js';
import {type ChatBody} from './chatBody.js';
import {type CostBound} from './costBound.js';
import {type RequestDependencies} from './dependencies.js';
import {type Explanation} from './explanations.js';
import {type ModelClient} from './modelClient.js';
import {type OpenedRequest} from './openedRequest.js';
import {type RequestSettler} from './requestSettler.js';

/** Dependencies of a run. */
export interface ChatRunParts {
  dependencies: RequestDependencies;
  models: ModelClient;
  selector: BackendSelector;
  settler: RequestSettler;
}

/** Reason for aborting a run. */
export type AbortReason = 'deadline' | 'callerLeft';

/** One opened chat request. */
export interface ChatJob {
  requestId: string;
  body: ChatBody;
  terms: ModelTerms;
  bound: CostBound;
  priority: string;
  opened: OpenedRequest;
  answer: ResponseBuffer;
  context: Context;
  explanation: Explanation;
  /** Aborts the run; its reason is an `AbortReason`. */
  signal: AbortSignal;
}

/** One attempt at a backend server. */
export interface ChatAttempt {
  backend: BackendEntry;
  attemptId: string;
}

/** Progress of a run. */
export interface ChatProgress {
  attempts: number;
  /** Whether any model engine may have received the request. */
  wasSent: boolean;
  last?: ChatAttempt;
}

/** Result of a run. */
export interface ChatResult {
  outcome: RequestOutcome;
  usage?: Usage;
}
