/**
 * @fileoverview Contracts that this instance has fetched, by customer and by
 * the hashes of their workspaces' keys.
 */
import {type ContractView, type Workspace} from '@dogwoodtrestle/schema';

/** A key's contract and workspace. */
export interface KeyOwner {
  view: ContractView;
  workspace: Workspace;
}

/** Cache of contracts; a newer revision of a contract replaces an older one. */
export class ContractCache {
  private readonly views = new Map<string, ContractView>();
  private readonly owners = new Map<string, KeyOwner>();

  /** Number of contracts held. */
  get size(): number {
    return this.views.size;
  }

  customer(name: string): ContractView | undefined {
    return this.views.get(name);
  }

  owner(keyHash: string): KeyOwner | undefined {
    return this.owners.get(keyHash);
  }

  /**
   * Takes in a contract. One that is older than the cached one is dropped,
   * since answers of different ledger instances may cross.
   *
   * @returns The contract that is cached now.
   */
  store(view: ContractView): ContractView {
    const name = view.contract.customer;
    const known = this.views.get(name);
    if (known !== undefined && !replaces(known, view)) return known;
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
      // A key may have moved to another customer meanwhile.
      if (owner?.view === view) this.owners.delete(keyHash);
    }
  }
}

function replaces(known: ContractView, next: ContractView): boolean {
  return next.revision > known.revision || next.version > known.version;
}
