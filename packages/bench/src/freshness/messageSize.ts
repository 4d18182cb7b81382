/**
 * @fileoverview Lengths of messages as JSON. Parts that many messages share, such
 * as log entries, are measured once.
 */
import {type MessageCost} from './machineCapacity.js';

const lengths = new WeakMap<object, number>();

/** Levels of a message whose objects are measured by themselves. */
const sharedDepth = 3;

/** Returns the length of a value as JSON. Its objects must not change. */
export function jsonLength(value: unknown, depth = sharedDepth): number {
  if (typeof value !== 'object' || value === null) {
    return (JSON.stringify(value) ?? '').length;
  }
  const known = lengths.get(value);
  if (known !== undefined) return known;
  if (depth === 0) {
    const {length} = JSON.stringify(value);
    lengths.set(value, length);
    return length;
  }
  let length = 2;
  for (const [name, field] of Object.entries(value)) {
    if (field === undefined) continue;
    const label = Array.isArray(value) ? 1 : name.length + 4;
    length += label + jsonLength(field, depth - 1);
  }
  if (depth < sharedDepth) lengths.set(value, length);
  return length;
}

/** Returns what a message takes that is written for one receiver. */
export function costOfMessage(message: unknown): MessageCost {
  const bytes = jsonLength(message);
  return {bytes, serializedBytes: bytes, compressedBytes: 0};
}
