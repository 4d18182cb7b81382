/**
 * @fileoverview Selects the routers that hold a workspace's tokens for the
 * others.
 *
 * When many routers serve a workspace, the demand of each is too low for its own
 * grant to cover a large request. So most of the tokens needed during a partition
 * are held by a few routers, which lend them to the others. All processes that
 * know the same routers select the same holders.
 */
import {rankFor} from './rendezvous.js';

/**
 * Number of holders of one workspace. With more of them, fewer tokens are lost
 * when one fails.
 */
const holdersPerWorkspace = 5;

/** Selects holders, and caches them until the routers change. */
export class TokenHolders {
  private cachedRouters: readonly string[] = [];
  private readonly holdersByWorkspace = new Map<string, string[]>();

  /**
   * Returns the addresses of a workspace's holders in order of rank.
   *
   * @param routers Addresses of all routers. The cache is valid for this array,
   *     so pass a new one when the routers change.
   */
  of(workspace: string, routers: readonly string[]): readonly string[] {
    if (routers !== this.cachedRouters) {
      this.cachedRouters = routers;
      this.holdersByWorkspace.clear();
    }
    let holders = this.holdersByWorkspace.get(workspace);
    if (holders === undefined) {
      holders = rankFor(`holder/${workspace}`, routers).slice(
        0,
        holdersPerWorkspace,
      );
      this.holdersByWorkspace.set(workspace, holders);
    }
    return holders;
  }
}
