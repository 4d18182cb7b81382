/**
 * @fileoverview Routers that hold a workspace's tokens for all others.
 *
 * Where many routers serve a workspace, each uses too little for a grant of its
 * own to cover a large request. So most of what a partition will need is held
 * by a few routers, which lend it to the others; every process ranks them alike.
 */
import {rankFor} from './rendezvous.js';

/** Holders of one workspace: more lose less with a router that dies. */
const holdersPerWorkspace = 5;

/** Ranks routers, and remembers the ranks until the routers change. */
export class TokenHolders {
  private ranked: readonly string[] = [];
  private readonly known = new Map<string, string[]>();

  /**
   * Returns the addresses of a workspace's holders, the first in rank first.
   *
   * @param routers Addresses of all routers; another array for other routers.
   */
  of(workspace: string, routers: readonly string[]): readonly string[] {
    if (routers !== this.ranked) {
      this.ranked = routers;
      this.known.clear();
    }
    let holders = this.known.get(workspace);
    if (holders === undefined) {
      holders = rankFor(`holder/${workspace}`, routers).slice(
        0,
        holdersPerWorkspace,
      );
      this.known.set(workspace, holders);
    }
    return holders;
  }
}
