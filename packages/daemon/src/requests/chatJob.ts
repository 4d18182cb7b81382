/**
 * @fileoverview One opened chat request, and what its run works with.
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

/** What a run works with. */
export interface ChatRunParts {
  dependencies: RequestDependencies;
  models: ModelClient;
  selector: BackendSelector;
  settler: RequestSettler;
}

/** Why a run was ended from outside. */
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
  /** Ends the run; its reason is an `AbortReason`. */
  signal: AbortSignal;
}

/** One attempt at a backend server. */
export interface ChatAttempt {
  backend: BackendEntry;
  attemptId: string;
}

/** How far a run has come. */
export interface ChatProgress {
  attempts: number;
  /** Whether any engine may have received the request. */
  wasSent: boolean;
  last?: ChatAttempt;
}

/** How the run of a request ended. */
export interface ChatResult {
  outcome: RequestOutcome;
  usage?: Usage;
}
