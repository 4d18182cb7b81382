/**
 * @fileoverview Reads and validates YAML documents, and locates findings in them.
 */
import {isMap, isNode, LineCounter, parseDocument, type Document} from 'yaml';

import {type MessageTypes} from './generated/messages.js';
import {type Finding} from './generated/types.js';
import {type MessageName, validate, type Validation} from './validate.js';

/**
 * Parses a YAML text and validates it.
 *
 * @param name Name of the schema definition.
 * @param text The YAML text.
 * @param file Name of the file in the findings.
 * @returns The value with its defaults, or all findings, each with file, line
 *     and column (both from 1).
 */
export function readDocument<N extends MessageName>(
  name: N,
  text: string,
  file: string,
): Validation<MessageTypes[N]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter, uniqueKeys: true});
  if (document.errors.length > 0) {
    return {
      findings: document.errors.map(error => ({
        file,
        ...positionAt(lineCounter, error.pos[0]),
        path: '',
        message: error.message.split('\n')[0] ?? error.code,
      })),
    };
  }
  const result = validate(name, document.toJS() as unknown);
  if ('value' in result) return result;
  return {
    findings: result.findings.map(finding => ({
      ...finding,
      file,
      ...positionOf(document, lineCounter, finding),
    })),
  };
}

/** Adds file, line and column to findings about a value parsed from YAML. */
export function locateFindings(
  findings: readonly Finding[],
  text: string,
  file: string,
): Finding[] {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter});
  return findings.map(finding => ({
    ...finding,
    file,
    ...positionOf(document, lineCounter, finding),
  }));
}

function positionOf(
  document: Document,
  lineCounter: LineCounter,
  finding: Finding,
): {line: number; column: number} {
  const steps = finding.path
    .split('/')
    .slice(1)
    .map(step => step.replaceAll('~1', '/').replaceAll('~0', '~'));
  // A missing value has no position, so that of its nearest ancestor is used.
  for (let length = steps.length; length >= 0; length--) {
    const offset = offsetOf(document, steps.slice(0, length));
    if (offset !== undefined) return positionAt(lineCounter, offset);
  }
  return {line: 1, column: 1};
}

function offsetOf(document: Document, steps: string[]): number | undefined {
  const parent =
    steps.length === 0 ? undefined : document.getIn(steps.slice(0, -1), true);
  if (isMap(parent)) {
    const pair = parent.items.find(
      item =>
        String(isNode(item.key) ? item.key.toJSON() : item.key) ===
        steps.at(-1),
    );
    if (pair !== undefined && isNode(pair.key)) return pair.key.range?.[0];
  }
  const node = document.getIn(steps, true);
  return isNode(node) ? node.range?.[0] : undefined;
}

function positionAt(
  lineCounter: LineCounter,
  offset: number,
): {line: number; column: number} {
  const {line, col} = lineCounter.linePos(offset);
  return {line: Math.max(1, line), column: Math.max(1, col)};
}
