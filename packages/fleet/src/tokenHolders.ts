/**
 * @fileoverview Routers that hold a workspace's tokens for all others.
 *
 * Where many routers serve a workspace, each uses too little for a grant of its
 * own to cover a large request. So most of what a partition will need is held
 * by a few routers, which lend it to the others; every process ranks them alike.
 */
import {rankFor} from './rendezvous.js';

/** Holders of one workspace: more lose less with a router that dies. */
export const holdersPerWorkspace = 5;

/** Returns the addresses of a workspace's holders, the first in rank first. */
export function holdersOf(
  workspace: string,
  routers: readonly string[],
): string[] {
  return rankFor(`holder/${workspace}`, routers).slice(0, holdersPerWorkspace);
}
