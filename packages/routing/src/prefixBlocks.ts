/**
 * @fileoverview Hashes of the blocks of a prompt, each covering the text from
 * the start up to the block's end, so that equal hashes mean equal prefixes.
 */
import {createHash} from 'node:crypto';

export interface PrefixBlockOptions {
  /** Characters in a block; an incomplete last block gets no hash. */
  blockLength: number;
  /** Longer prompts are hashed only up to this many blocks. */
  maximumBlocks: number;
}

export const defaultPrefixBlockOptions: PrefixBlockOptions = {
  blockLength: 256,
  maximumBlocks: 256,
};

const hashLength = 16;

/**
 * Hashes of the complete blocks, in order, each of 16 hexadecimal digits. The
 * first one covers the scope too: a model's cache is of no use to another.
 *
 * @param scope Model, and adapter if there is one.
 */
export function hashPrefixBlocks(
  scope: string,
  prompt: string,
  options: Partial<PrefixBlockOptions> = {},
): string[] {
  const {blockLength, maximumBlocks} = {
    ...defaultPrefixBlockOptions,
    ...options,
  };
  const count = Math.min(
    Math.floor(prompt.length / blockLength),
    maximumBlocks,
  );
  const blocks: string[] = [];
  let previous = scope;
  for (let index = 0; index < count; index += 1) {
    const block = prompt.slice(index * blockLength, (index + 1) * blockLength);
    previous = createHash('sha256')
      .update(`${previous}\n${block}`)
      .digest('hex')
      .slice(0, hashLength);
    blocks.push(previous);
  }
  return blocks;
}
