/**
 * @fileoverview Remembers which ledger instance leads, and whom to ask next.
 */

/** Chooses the ledger instance to call. */
export class LeaderFinder {
  private leader: string | undefined;
  private cursor = 0;

  /** @param addresses Peer addresses of the known ledger instances. */
  constructor(private readonly addresses: () => string[]) {}

  /** Address to call next, or undefined where no ledger instance is known. */
  current(): string | undefined {
    if (this.leader !== undefined) return this.leader;
    const known = this.addresses();
    return known[this.cursor % Math.max(1, known.length)];
  }

  /** Takes in which instance answered as the leader or was named so. */
  set(address: string): void {
    this.leader = address;
  }

  /** Takes in that an instance isn't the leader or can't be reached. */
  markNotLeader(address: string): void {
    if (this.leader === address) this.leader = undefined;
    this.cursor++;
  }
}
