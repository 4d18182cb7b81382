/** @fileoverview Reads the span files (JSONL) that daemons write. */
import {readText} from '../context.js';
import {UsageError} from '../errors.js';

/** A span in the file that the setting `traces.file` names. */
export interface SpanRecord {
  name: string;
  /** Milliseconds since the epoch. */
  startMs: number;
  durationMs: number;
  status: 'ok' | 'error';
  attributes: Record<string, unknown>;
}

/**
 * Reads span files with one span per line.
 *
 * @throws {UsageError} A file can't be read, or a line isn't JSON.
 */
export function readSpans(files: readonly string[]): SpanRecord[] {
  return files.flatMap(file =>
    readText(file)
      .split('\n')
      .filter(line => line !== '')
      .map((line, index) => parseSpan(line, `${file}:${index + 1}`)),
  );
}

function parseSpan(line: string, location: string): SpanRecord {
  try {
    return JSON.parse(line) as SpanRecord;
  } catch (error) {
    throw new UsageError(`${location}: ${(error as Error).message}`);
  }
}
