/**
 * @fileoverview Names of attempts at backend servers.
 *
 * They follow from the request key and the attempt number in the ledger, so
 * that any instance can ask a backend server about the attempts of a request
 * whose holder is gone.
 */
import {type Target} from '@dogwoodtrestle/schema';

/** Attempts at model engines under one attempt number of the ledger. */
export const maximumChatAttempts = 4;

/** What names the attempts of a request. */
export interface AttemptSource {
  /** Key in the form `customer/workspace/key`. */
  requestKey: string;
  /** Attempt number in the ledger. */
  attempt: number;
}

/** Name of an attempt at a service; repeated calls share it. */
export function serviceAttemptId({requestKey, attempt}: AttemptSource): string {
  return `${requestKey.replaceAll('/', '.')}.${attempt}`;
}

/** Name of one of several attempts at model engines, counted from 1. */
export function chatAttemptId(source: AttemptSource, number: number): string {
  return `${serviceAttemptId(source)}.${number}`;
}

/** All names that a request's attempts may have, the newest first. */
export function attemptIdsOf(
  source: AttemptSource & {target: Target},
): string[] {
  const attempts = Array.from({length: source.attempt}, (_, index) => ({
    ...source,
    attempt: source.attempt - index,
  }));
  if (source.target.kind === 'service') return attempts.map(serviceAttemptId);
  return attempts.flatMap(attempt =>
    Array.from({length: maximumChatAttempts}, (_, index) =>
      chatAttemptId(attempt, maximumChatAttempts - index),
    ),
  );
}
