/** @fileoverview What follows from a request and its route for all its attempts. */
import {type RoutedRequest} from './routedRequest.js';

/** Terms of one request. */
export interface RequestTerms {
  /** Monotonic time in milliseconds. */
  deadline: number;
  isStream: boolean;
  /** Whether it may be sent again after a server may have run it. */
  isRetryable: boolean;
  promptTokens: number;
}

/** Returns the terms of a request. */
export function createRequestTerms({
  route,
  request,
  receivedAt,
}: RoutedRequest): RequestTerms {
  const remaining = request.timeRemainingMilliseconds ?? Infinity;
  const isStream = route.kind === 'streaming';
  return {
    deadline: receivedAt + Math.min(route.timeoutMilliseconds, remaining),
    isStream,
    isRetryable: route.kind === 'idempotent' || (isStream && route.isResumable),
    promptTokens: request.generation?.promptTokens ?? 0,
  };
}
