#!/usr/bin/env node
/** @fileoverview Entry point of `dogwoodctl`, the command line for operators. */
import {main} from '../dist/main.js';

process.exitCode = await main(process.argv.slice(2), process);
