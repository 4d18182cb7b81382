/**
 * @fileoverview Encodes messages between processes as JSON, compressed with gzip if
 * they are long. Parts that go to many receivers are written and compressed once:
 * a gzip stream may consist of several members, so the compressed parts of a message
 * are joined as they are.
 */
import {gunzipSync, gzipSync} from 'node:zlib';

import {exceedsValues} from './jsonValues.js';

/** Length from which a message is compressed. */
const minCompressedBytes = 4_096;

/** Length up to which the compressed text between two shared parts is kept. */
const maxSeparatorLength = 24;

/** Limit of such texts. */
const maxSeparators = 64;

/** Encodings of a shared part, made when they are first needed. */
interface SharedEncoding {
  length: number;
  text?: string;
  compressed?: Buffer;
}

/** A message as it is sent. */
export interface EncodedMessage {
  body: Buffer;
  isCompressed: boolean;
  /** Characters of the JSON. */
  length: number;
  /** Characters that were written for this message alone. */
  writtenLength: number;
  /** Characters that were compressed for this message alone. */
  compressedLength: number;
}

/** Options of an encoding. */
export interface EncodingOptions {
  /** Whether the receiver reads compressed messages. */
  isCompressible: boolean;
}

/** Text, or a shared part. */
type Piece = string | object;

const sharedParts = new WeakMap<object, SharedEncoding | undefined>();
const separators = new Map<string, Buffer>();

/**
 * Marks an object that goes to many receivers, as a field of a message or as an
 * element of a list there. It must not change afterwards.
 */
export function shareEncoding<T extends object>(part: T): T {
  if (!sharedParts.has(part)) sharedParts.set(part, undefined);
  return part;
}

/** Encodes a message. */
export function encodeMessage(
  message: unknown,
  {isCompressible}: EncodingOptions,
): EncodedMessage {
  const work = {writtenLength: 0, compressedLength: 0};
  const pieces = piecesOf(message, work);
  const length = pieces.reduce((sum, piece) => {
    if (typeof piece === 'string') return sum + piece.length;
    return sum + encodingOf(piece, work).length;
  }, 0);
  if (!isCompressible || length < minCompressedBytes) {
    const texts = pieces.map(piece =>
      typeof piece === 'string' ? piece : textOf(piece, work),
    );
    const body = Buffer.from(texts.join(''));
    return {body, isCompressed: false, length, ...work};
  }
  const members = pieces.map(piece =>
    typeof piece === 'string'
      ? compressText(piece, work)
      : compressPart(piece, work),
  );
  const body = Buffer.concat(members);
  return {body, isCompressed: true, length, ...work};
}

/** A message has more values than its receiver has memory for. */
export class TooManyValues extends Error {
  override name = 'TooManyValues';
}

/**
 * Decodes the body of a message.
 *
 * @throws TooManyValues if it has more than `maxValues`, and another error if it isn't
 *     JSON or has more than `maxBytes` once it is decompressed.
 */
export function decodeMessage(
  body: Buffer,
  encoding: string | undefined,
  maxBytes: number,
  maxValues = Infinity,
): unknown {
  const isCompressed = encoding === compressedEncoding;
  const plain = isCompressed
    ? gunzipSync(body, {maxOutputLength: maxBytes})
    : body;
  if (exceedsValues(plain, maxValues)) {
    throw new TooManyValues(`a message has more than ${maxValues} values`);
  }
  return JSON.parse(plain.toString('utf8'));
}

/** Value of the headers that name the compression. */
export const compressedEncoding = 'gzip';

type EncodingWork = Pick<EncodedMessage, 'writtenLength' | 'compressedLength'>;

/** Splits a message at its shared parts; these come after its other fields. */
function piecesOf(message: unknown, work: EncodingWork): Piece[] {
  const isPlain = typeof message !== 'object' || Array.isArray(message);
  if (isPlain || message === null) {
    return [write(message ?? {}, work)];
  }
  const fields = Object.entries(message);
  const split = fields.filter(([, value]) => hasSharedPart(value));
  if (split.length === 0) return [write(message, work)];
  const names = new Set(split.map(([name]) => name));
  const others = fields.filter(([name]) => !names.has(name));
  const pieces: Piece[] = [];
  let text = write(Object.fromEntries(others), work).slice(0, -1);
  for (const [name, value] of split) {
    text += `${text === '{' ? '' : ','}${JSON.stringify(name)}:`;
    if (isShared(value)) {
      pieces.push(text, value);
      text = '';
      continue;
    }
    text += '[';
    (value as unknown[]).forEach((element, index) => {
      if (index > 0) text += ',';
      if (isShared(element)) {
        pieces.push(text, element);
        text = '';
      } else {
        text += write(element, work);
      }
    });
    text += ']';
  }
  pieces.push(`${text}}`);
  return pieces;
}

function hasSharedPart(value: unknown): boolean {
  return isShared(value) || (Array.isArray(value) && value.some(isShared));
}

function isShared(value: unknown): value is object {
  return typeof value === 'object' && value !== null && sharedParts.has(value);
}

function write(value: unknown, work: EncodingWork): string {
  const text = JSON.stringify(value) ?? 'null';
  work.writtenLength += text.length;
  return text;
}

function encodingOf(part: object, work: EncodingWork): SharedEncoding {
  const known = sharedParts.get(part);
  if (known !== undefined) return known;
  const text = write(part, work);
  const encoding = {text, length: text.length};
  sharedParts.set(part, encoding);
  return encoding;
}

function textOf(part: object, work: EncodingWork): string {
  const encoding = encodingOf(part, work);
  return (encoding.text ??= write(part, work));
}

function compressPart(part: object, work: EncodingWork): Buffer {
  const encoding = encodingOf(part, work);
  encoding.compressed ??= compress(textOf(part, work), work);
  // Few receivers read no compressed messages; the text is written again for them.
  encoding.text = undefined;
  return encoding.compressed;
}

function compressText(text: string, work: EncodingWork): Buffer {
  const known = separators.get(text);
  if (known !== undefined) return known;
  const compressed = compress(text, work);
  const isSeparator = text.length <= maxSeparatorLength;
  if (isSeparator && separators.size < maxSeparators) {
    separators.set(text, compressed);
  }
  return compressed;
}

function compress(text: string, work: EncodingWork): Buffer {
  work.compressedLength += text.length;
  return gzipSync(text);
}
