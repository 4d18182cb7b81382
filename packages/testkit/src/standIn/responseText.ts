/**
 * @fileoverview Deterministic model output: the same prompt always gives the
 * same tokens, so that a scenario can detect incomplete or altered responses.
 */
import {createHash} from 'node:crypto';

const vocabulary =
  'barley lot moisture protein germination plump screened malt grade bid window tent mat lantern gate kit rain ready'.split(
    ' ',
  );

/** Number of tokens of a response whose prompt asks for no other number. */
export const defaultResponseTokens = 12;

/**
 * Returns the tokens of the response to a prompt.
 *
 * @param prompt Text of all messages. `N words` sets the length.
 * @param maximumTokens Maximum number of tokens.
 */
export function responseTokens(
  prompt: string,
  maximumTokens: number,
): string[] {
  const requestedTokens = Number(
    /(\d+) words/.exec(prompt)?.[1] ?? defaultResponseTokens,
  );
  const length = Math.min(requestedTokens, maximumTokens);
  const digest = createHash('sha256').update(prompt).digest();
  return Array.from({length}, (_, index) => {
    const byte = digest[index % digest.length] ?? 0;
    const word = vocabulary[(byte + index) % vocabulary.length] ?? '';
    return index === 0 ? word : ` ${word}`;
  });
}

/** Returns the number of input tokens of a prompt: one per four bytes. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / 4);
}
