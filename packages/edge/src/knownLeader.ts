/**
 * @fileoverview What a router knows of the control processes: which of them leads,
 * and what the leader has said of the others and of the routers.
 */
import {type LeaseRequestTime} from '@dogwoodtrestle/fleet';
import {type LeaderHint, type WatchUpdate} from '@dogwoodtrestle/schema';

/** The leader, the other control processes and the routers, by their addresses. */
export class KnownLeader {
  private current?: string;
  private named?: string;
  private others: readonly string[] = [];
  private routers: readonly string[] = [];
  private routersRevision = -1;
  /** Leader that sent the routers; their revision is valid for it only. */
  private routersSource?: string;
  private mostRouters = 1;
  /** When the newest call whose update was applied was sent. */
  private appliedSentAt = -Infinity;

  /** Address of the leader; undefined while none is known. */
  get address(): string | undefined {
    return this.current;
  }

  /** Address that another control process has named as the leader. */
  get namedAddress(): string | undefined {
    return this.named;
  }

  /** Addresses of the control processes, of the newest reply that had them. */
  get replicas(): readonly string[] {
    return this.others;
  }

  /** Peer addresses of all routers, including this one. */
  get peers(): readonly string[] {
    return this.routers;
  }

  /** Maximum number of live routers that a leader has ever reported. */
  get routerCount(): number {
    return this.mostRouters;
  }

  /** Revision of the peers that a control process has sent, or -1. */
  peersRevisionOf(address: string): number {
    return this.routersSource === address ? this.routersRevision : -1;
  }

  /** Applies the update of a process, which leads. */
  applyUpdate(
    update: WatchUpdate,
    address: string,
    {sentAt}: LeaseRequestTime,
  ): void {
    this.appliedSentAt = Math.max(this.appliedSentAt, sentAt);
    this.current = address;
    this.named = undefined;
    this.others = update.replicas;
    if (update.peers !== undefined) {
      this.routers = update.peers;
      this.routersRevision = update.peersRevision;
      this.routersSource = address;
    }
    this.mostRouters = Math.max(this.mostRouters, update.routers);
  }

  /** Applies the reply of a process that doesn't lead. */
  applyHint({leader, replicas}: LeaderHint, asked: string): void {
    if (replicas.length > 0) this.others = replicas;
    if (leader !== undefined && leader !== asked) this.named = leader;
  }

  /**
   * Forgets a process that doesn't lead or can't be called.
   *
   * @param time When the call that showed it was sent.
   * @returns Whether it was the leader.
   */
  drop(address: string, {sentAt}: LeaseRequestTime): boolean {
    if (this.named === address) this.named = undefined;
    // It may have become the leader after it replied.
    if (this.current !== address || sentAt < this.appliedSentAt) return false;
    this.current = undefined;
    return true;
  }

  /** Forgets the leader, which hasn't replied for long. */
  forget(): void {
    this.current = undefined;
  }
}
