/**
 * @fileoverview Outcome of an attempt as the service reports it.
 *
 * The router that made the attempt reads it back, and so does the ledger's
 * leader for a request that its router no longer runs.
 */
import {type StoredAnswer} from '@dogwoodtrestle/schema';

/** Outcome of an attempt as the service reports it. */
export type ReadBack =
  | {outcome: 'ran'; answer: StoredAnswer}
  | {outcome: 'didNotRun'}
  | {outcome: 'running'}
  | {outcome: 'unknown'};

/** Largest answer body that the ledger stores with a bill. */
const maximumStoredAnswerBytes = 65536;

/** Parses a service's report; the outcome of an invalid one is `unknown`. */
export function parseReadBack(value: unknown): ReadBack {
  if (typeof value !== 'object' || value === null) return {outcome: 'unknown'};
  const {outcome, status, contentType, body} = value as {
    outcome?: string;
    status?: number;
    contentType?: string;
    body?: string;
  };
  if (outcome === 'didNotRun' || outcome === 'running') return {outcome};
  if (outcome !== 'ran') return {outcome: 'unknown'};
  return {
    outcome: 'ran',
    answer: {
      status: status ?? 200,
      contentType: contentType ?? 'application/json',
      body: body ?? '',
    },
  };
}

/** Returns the answer, or undefined if it is too large to store with a bill. */
export function storableAnswer(
  answer: StoredAnswer | undefined,
): StoredAnswer | undefined {
  if (answer === undefined) return undefined;
  const bytes = Buffer.byteLength(answer.body);
  return bytes <= maximumStoredAnswerBytes ? answer : undefined;
}
