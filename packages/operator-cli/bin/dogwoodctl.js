#!/usr/bin/env node
/** @fileoverview Entry of the operators' command line. */
import {main} from '../dist/main.js';

process.exitCode = await main(process.argv.slice(2), process);
