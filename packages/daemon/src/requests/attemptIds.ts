/**
 * @fileoverview IDs of attempts at backend servers.
 *
 * They are derived from the request key and the attempt number in the ledger,
 * so that any instance can ask a backend server about the attempts of a
 * request whose holder no longer runs.
 */
import {type Target} from '@dogwoodtrestle/schema';

/**
 * Largest number of attempts at model engines under one attempt number of the
 * ledger.
 */
export const maximumChatAttempts = 4;

/** The parts of a request that its attempt IDs are derived from. */
export interface AttemptSource {
  /** Key in the form `customer/workspace/key`. */
  requestKey: string;
  /** Attempt number in the ledger. */
  attempt: number;
}

/** Returns the ID of a call to a service; retries of the call share it. */
export function serviceAttemptId({requestKey, attempt}: AttemptSource): string {
  return `${requestKey.replaceAll('/', '.')}.${attempt}`;
}

/** Returns the ID of an attempt at a model engine; numbers start at 1. */
export function chatAttemptId(source: AttemptSource, number: number): string {
  return `${serviceAttemptId(source)}.${number}`;
}

/** Returns all IDs that a request's attempts may have, newest first. */
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
