/**
 * @fileoverview What messages between processes take, by the encoder that sends them.
 */
import {encodeMessage} from '@dogwoodtrestle/runtime';

import {type MessageCost} from './machineCapacity.js';

/** Returns what a message takes that is written now. */
export function costOfMessage(message: unknown): MessageCost {
  const encoded = encodeMessage(message, {isCompressible: true});
  return {
    bytes: encoded.body.length,
    jsonBytes: encoded.length,
    serializedBytes: encoded.writtenLength,
    compressedBytes: encoded.compressedLength,
  };
}
