/** @fileoverview Shape of a command, and how its handler is run. */
import {type Command} from 'commander';

import {type Context} from '../context.js';

/** Wraps a handler so that it gets the context of the run. */
export type Bind = <A extends unknown[]>(
  handler: (context: Context, ...args: A) => Promise<void> | void,
) => (...args: unknown[]) => Promise<void>;

/** One command, which adds itself to its parent. */
export type CommandModule = (parent: Command, bind: Bind) => void;
