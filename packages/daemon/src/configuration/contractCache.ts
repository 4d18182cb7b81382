/**
 * @fileoverview Cache of fetched contracts by customer and by the key hashes of
 * their workspaces.
 */
import {type ContractView, type Workspace} from '@dogwoodtrestle/schema';

/** The contract and the workspace that a key belongs to. */
export interface KeyOwner {
  view: ContractView;
  workspace: Workspace;
}

/** Cache of contracts. A newer revision of a contract replaces an older one. */
export class ContractCache {
  private readonly views = new Map<string, ContractView>();
  private readonly owners = new Map<string, KeyOwner>();

  /** Number of cached contracts. */
  get size(): number {
    return this.views.size;
  }

  /** Returns the cached contract of a customer. */
  customer(name: string): ContractView | undefined {
    return this.views.get(name);
  }

  /** Returns the contract and the workspace that a key belongs to. */
  owner(keyHash: string): KeyOwner | undefined {
    return this.owners.get(keyHash);
  }

  /**
   * Stores a contract unless the cached one is newer, since replies of
   * different ledger instances may arrive out of order.
   *
   * @returns The contract that is cached after the call.
   */
  store(view: ContractView): ContractView {
    const name = view.contract.customer;
    const known = this.views.get(name);
    if (known !== undefined && !isNewer(known, view)) return known;
    if (known !== undefined) this.dropOwners(known);
    this.views.set(name, view);
    for (const workspace of view.contract.workspaces) {
      this.owners.set(workspace.keyHash, {view, workspace});
    }
    return view;
  }

  private dropOwners(view: ContractView): void {
    for (const {keyHash} of view.contract.workspaces) {
      const owner = this.owners.get(keyHash);
      // The key may have moved to another customer in the meantime.
      if (owner?.view === view) this.owners.delete(keyHash);
    }
  }
}

function isNewer(known: ContractView, next: ContractView): boolean {
  return next.revision > known.revision || next.version > known.version;
}
