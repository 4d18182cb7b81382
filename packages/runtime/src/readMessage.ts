/**
 * @fileoverview Reads the messages of calls between processes. An address may be
 * used again by something that isn't a process of the fleet and sends without end.
 */
import {ByteAccumulator} from './byteAccumulator.js';

/** Most bytes of one message; a configuration has up to 32 MiB. */
export const maxMessageBytes = 64 * 1024 * 1024;

/** A message is longer than any message may be. */
export class MessageTooLong extends Error {
  override name = 'MessageTooLong';
}

/**
 * Reads the bytes of a message.
 *
 * @throws MessageTooLong after `maxBytes`; the rest is not read.
 */
export async function readMessage(
  source: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  const message = new ByteAccumulator();
  for await (const piece of source) {
    if (message.length + piece.length > maxBytes) {
      throw new MessageTooLong(`a message has more than ${maxBytes} bytes`);
    }
    message.append(piece);
  }
  return message.bytes;
}
