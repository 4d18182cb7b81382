/** @fileoverview Types of the functions that define commands. */
import {type Command} from 'commander';

import {type Context} from '../context.js';

/** Turns a handler into a commander action that passes the context to it. */
export type BindHandler = <A extends unknown[]>(
  handler: (context: Context, ...args: A) => Promise<void> | void,
) => (...args: unknown[]) => Promise<void>;

/** Adds a command to its parent. */
export type CommandModule = (parent: Command, bind: BindHandler) => void;
