#!/usr/bin/env node
/** @fileoverview Entry point of the daemon. */
import {main} from '../dist/main.js';

process.exitCode = await main(process.argv);
