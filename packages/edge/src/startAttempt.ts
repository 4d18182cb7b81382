/**
 * @fileoverview Starts to send a request to a backend server.
 */
import {Attempt, type AttemptListener} from './attempt.js';
import {type AttemptProgress} from './attemptProgress.js';
import {type EdgeContext} from './edgeContext.js';
import {
  type AttemptTarget,
  createForwardInstructions,
} from './forwardInstructions.js';
import {type RoutedRequest} from './routedRequest.js';
import {createServerObservers} from './serverObservers.js';

/** One attempt of a request. */
export interface AttemptStart {
  /** Gets the attempt, and the observers of its server. */
  progress: AttemptProgress;
  target: AttemptTarget;
  listener: AttemptListener;
}

/** Starts an attempt at the server of its progress. */
export function startAttempt(
  context: Pick<EdgeContext, 'options' | 'clock' | 'pool' | 'limits'>,
  input: RoutedRequest,
  {progress, target, listener}: AttemptStart,
): void {
  const {options, clock} = context;
  const {codec} = options;
  const {request, body} = input;
  const {server} = progress;
  const instructions = createForwardInstructions(input, target);
  const headers = codec.encodeRequest(request, instructions);
  const observers = createServerObservers(context, request, progress);
  progress.observers = observers;
  progress.attempt = new Attempt(
    {request, body, headers, server, codec, clock, ...observers},
    listener,
  );
}
