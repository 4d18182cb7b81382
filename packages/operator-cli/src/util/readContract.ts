/** @fileoverview Reads and checks contract files. */
import {checkContract} from '@dogwoodtrestle/ledger';
import {
  type Contract,
  locateFindings,
  type Finding,
  readDocument,
} from '@dogwoodtrestle/schema';

import {readText} from '../context.js';

const standardInputDescriptor = 0;

/** A contract file: its text, and either its contract or findings. */
export interface ContractFile {
  name: string;
  text: string;
  contract?: Contract;
  findings: Finding[];
}

/**
 * Reads a contract file.
 *
 * @param file Path, or `-` for the standard input.
 * @throws {UsageError} The file can't be read.
 */
export function readContract(file: string): ContractFile {
  const text = readText(file === '-' ? standardInputDescriptor : file);
  const name = file === '-' ? '(standard input)' : file;
  const result = readDocument('Contract', text, name);
  if ('findings' in result) return {name, text, findings: result.findings};
  const findings = locateFindings(checkContract(result.value), text, name);
  if (findings.length > 0) return {name, text, findings};
  return {name, text, contract: result.value, findings};
}
