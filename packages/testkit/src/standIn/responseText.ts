/**
 * @fileoverview Deterministic answers: the same prompt always gives the same
 * tokens, so that a scenario can tell a whole answer from a damaged one.
 */
import {createHash} from 'node:crypto';

const vocabulary =
  'barley lot moisture protein germination plump screened malt grade bid window tent mat lantern gate kit rain ready'.split(
    ' ',
  );

/** Tokens of an answer where the prompt asks for no other number. */
export const defaultResponseTokens = 12;

/**
 * Returns the tokens that answer a prompt.
 *
 * @param prompt Text of all messages. `N words` in it sets the length.
 * @param maximumTokens Bound on the number of tokens.
 */
export function responseTokens(
  prompt: string,
  maximumTokens: number,
): string[] {
  const wanted = Number(
    /(\d+) words/.exec(prompt)?.[1] ?? defaultResponseTokens,
  );
  const length = Math.min(wanted, maximumTokens);
  const digest = createHash('sha256').update(prompt).digest();
  return Array.from({length}, (_, index) => {
    const byte = digest[index % digest.length] ?? 0;
    const word = vocabulary[(byte + index) % vocabulary.length] ?? '';
    return index === 0 ? word : ` ${word}`;
  });
}

/** Number of input tokens that a prompt counts as: one per four bytes. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / 4);
}
