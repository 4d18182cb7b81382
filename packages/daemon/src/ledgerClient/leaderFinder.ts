/**
 * @fileoverview Tracks the ledger's leader and the instance to call next.
 */

/** Selects the ledger instance to call. */
export class LeaderFinder {
  private leader: string | undefined;
  private cursor = 0;

  /** @param addresses Peer addresses of the known ledger instances. */
  constructor(private readonly addresses: () => string[]) {}

  /** Address to call next, or undefined if no ledger instance is known. */
  current(): string | undefined {
    if (this.leader !== undefined) return this.leader;
    const known = this.addresses();
    return known[this.cursor % Math.max(1, known.length)];
  }

  /** Records the instance that answered as leader or was named as leader. */
  set(address: string): void {
    this.leader = address;
  }

  /** Records that an instance isn't the leader or is unreachable. */
  markNotLeader(address: string): void {
    if (this.leader === address) this.leader = undefined;
    this.cursor++;
  }
}
