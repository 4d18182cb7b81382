#!/usr/bin/env node
/** @fileoverview Entry point of `dogwoodctl`, the command line for operators. */
import {operatorInterface} from '@dogwoodtrestle/platform/operatorInterface';

import {main} from '../dist/main.js';

const {stdout, stderr, env} = process;
process.exitCode = await main(process.argv.slice(2), {
  stdout,
  stderr,
  env,
  fleet: operatorInterface,
});
