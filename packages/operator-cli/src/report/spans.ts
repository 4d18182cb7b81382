/** @fileoverview Reads the JSONL files of spans that daemons write. */
import {readText} from '../context.js';
import {UsageError} from '../errors.js';

/** One span, as `traces.file` holds it. */
export interface SpanRecord {
  name: string;
  /** Milliseconds since the epoch. */
  startMs: number;
  durationMs: number;
  status: 'ok' | 'error';
  attributes: Record<string, unknown>;
}

/** Reads span files; each line is one span. */
export function readSpans(files: readonly string[]): SpanRecord[] {
  return files.flatMap(file =>
    readText(file)
      .split('\n')
      .filter(line => line !== '')
      .map((line, index) => parseSpan(line, `${file}:${index + 1}`)),
  );
}

function parseSpan(line: string, place: string): SpanRecord {
  try {
    return JSON.parse(line) as SpanRecord;
  } catch (error) {
    throw new UsageError(`${place}: ${(error as Error).message}`);
  }
}
