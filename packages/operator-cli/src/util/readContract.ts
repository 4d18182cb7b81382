/** @fileoverview Reads contract files; `-` stands for the standard input. */
import {
  type Contract,
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
  return 'value' in result
    ? {name, text, contract: result.value, findings: []}
    : {name, text, findings: result.findings};
}
