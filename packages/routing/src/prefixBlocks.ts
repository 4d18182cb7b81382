/**
 * @fileoverview Chained hashes of the blocks of a prompt. Each hash covers the
 * text from the start to the end of its block, so that equal hashes mean equal
 * prefixes.
 */
import {createHash} from 'node:crypto';

/** Size and number of blocks. */
export interface PrefixBlockOptions {
  /** Block length in UTF-16 code units; an incomplete last block has no hash. */
  blockLength: number;
  /** Maximum number of blocks that are hashed. */
  maximumBlocks: number;
}

/** Default size and number of blocks. */
export const defaultPrefixBlockOptions: PrefixBlockOptions = {
  blockLength: 256,
  maximumBlocks: 256,
};

/** Length of a hash in hexadecimal digits. */
const hashLength = 16;

/**
 * Returns the hashes of the complete blocks in order, 16 hexadecimal digits
 * each. All cover the scope as well, because models do not share caches.
 *
 * @param scope Name of the model, and of the adapter if there is one.
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
