/**
 * @fileoverview Computes upper bounds for the cost of a chat request.
 *
 * A tokenizer never produces more tokens from a text than the text has UTF-8
 * bytes, since each token represents at least one byte. The chat template adds
 * a bounded number of tokens for each message and each request.
 */
import {type ModelTerms} from '@dogwoodtrestle/schema';

import {type ChatBody} from './chatBody.js';

/** Largest number of tokens that a chat template adds for a message. */
const templateTokensPerMessage = 16;

/** Largest number of tokens that a chat template adds for a request. */
const templateTokensPerRequest = 64;

/** Fields of the body that become part of the prompt besides the messages. */
const promptFields = ['tools', 'functions', 'response_format', 'tool_choice'];

/** Bounds of one chat request. */
export interface CostBound {
  maximumInputTokens: number;
  maximumOutputTokens: number;
  /** Cost of all these tokens, in micros. */
  maximumCost: number;
  /** Amount billed if the outcome stays unknown: the input part, in micros. */
  unknownCost: number;
}

/** Returns the bounds of a chat request under the terms of its model. */
export function boundCost(
  body: ChatBody,
  terms: ModelTerms,
  maximumOutputTokens: number,
): CostBound {
  const maximumInputTokens = boundInputTokens(body);
  const inputCost = maximumInputTokens * terms.inputPrice;
  return {
    maximumInputTokens,
    maximumOutputTokens,
    maximumCost: inputCost + maximumOutputTokens * terms.outputPrice,
    unknownCost: inputCost,
  };
}

/** Returns the cost of the used tokens, in micros. */
export function costOf(
  terms: ModelTerms,
  usage: {inputTokens: number; outputTokens: number},
): number {
  return (
    usage.inputTokens * terms.inputPrice +
    usage.outputTokens * terms.outputPrice
  );
}

function boundInputTokens(body: ChatBody): number {
  const messageBytes = body.messages.reduce(
    (sum, message) => sum + stringBytes(message),
    0,
  );
  const otherBytes = promptFields.reduce(
    (sum, field) =>
      body[field] === undefined
        ? sum
        : sum + Buffer.byteLength(JSON.stringify(body[field])),
    0,
  );
  return (
    messageBytes +
    otherBytes +
    body.messages.length * templateTokensPerMessage +
    templateTokensPerRequest
  );
}

/** Sums the bytes of all strings, numbers and keys within a value. */
function stringBytes(value: unknown): number {
  if (typeof value === 'string') return Buffer.byteLength(value);
  if (value === null || typeof value !== 'object') {
    return String(value).length;
  }
  if (Array.isArray(value)) {
    return value.reduce((sum: number, item) => sum + stringBytes(item), 0);
  }
  return Object.entries(value).reduce(
    (sum, [key, child]) => sum + key.length + stringBytes(child),
    0,
  );
}
