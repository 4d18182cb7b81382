/** @fileoverview Reads contract files; `-` stands for the standard input. */
import {checkContract} from '@dogwoodtrestle/ledger';
import {
  type Contract,
  locateFindings,
  type Finding,
  readDocument,
} from '@dogwoodtrestle/schema';

import {readText} from '../context.js';

const standardInput = 0;

/** A contract file's text, and its contract or the findings in it. */
export interface ContractFile {
  name: string;
  text: string;
  contract?: Contract;
  findings: Finding[];
}

/** Reads a contract file with all findings. */
export function readContract(file: string): ContractFile {
  const text = readText(file === '-' ? standardInput : file);
  const name = file === '-' ? '(standard input)' : file;
  const result = readDocument('Contract', text, name);
  if ('findings' in result) return {name, text, findings: result.findings};
  const findings = locateFindings(checkContract(result.value), text, name);
  if (findings.length > 0) return {name, text, findings};
  return {name, text, contract: result.value, findings};
}
