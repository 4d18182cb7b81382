/**
 * @fileoverview One account of the bytes that a process holds for its clients:
 * bodies that are being read, requests that wait, answers that are not read.
 *
 * Load pattern: many clients that each stay inside the limit of one request, and
 * together hold more than the machine has. Beyond the limit, the largest holder is
 * given up first, so that small requests go on. The last holder never is: a single
 * request inside its own limits is served, however large.
 *
 * A body in tiny pieces costs far more processor time than its bytes. Pieces are
 * counted beside bytes, and given up in the same way.
 */

/** Limits of an account. */
export interface ByteAccountOptions {
  /** Bytes of all holders together. */
  maxBytes: number;
  /** Tiny pieces of all holders together. */
  maxPieces: number;
  /** Called for each holder that is given up. */
  onGivenUp: () => void;
}

/** Default limits, of a process that doesn't know its machine's memory. */
export const defaultByteAccountOptions: ByteAccountOptions = {
  maxBytes: 64 * 1024 * 1024,
  maxPieces: 256 * 1024,
  onGivenUp: () => undefined,
};

/** What an account is kept of. */
type Resource = 'bytes' | 'pieces';

/** Bytes held for one client; `release` ends it. */
export class HeldBytes {
  /** Bytes held now. */
  bytes = 0;
  /** Tiny pieces that came in for it. */
  pieces = 0;

  /** @param giveUp Frees the bytes; missing if they can't be given up. */
  constructor(
    private readonly account: ByteAccount,
    public giveUp: (() => void) | undefined,
  ) {}

  /** Sets the bytes held; this holder or others may be given up. */
  set(bytes: number): void {
    this.account.change(this, 'bytes', bytes - this.bytes);
  }

  /** Counts tiny pieces; this holder or others may be given up. */
  addPieces(count: number): void {
    this.account.change(this, 'pieces', count);
  }

  /** Keeps the bytes until `release`, and forgets the pieces. */
  keep(): void {
    this.giveUp = undefined;
    this.account.change(this, 'pieces', -this.pieces);
  }

  /** Ends the holding. */
  release(): void {
    this.account.remove(this);
  }
}

/** An account of bytes. */
export class ByteAccount {
  private readonly options: ByteAccountOptions;
  private readonly holders = new Set<HeldBytes>();
  private readonly totals: Record<Resource, number> = {bytes: 0, pieces: 0};

  constructor(options: Partial<ByteAccountOptions> = {}) {
    this.options = {...defaultByteAccountOptions, ...options};
  }

  /** Bytes of all holders. */
  get heldBytes(): number {
    return this.totals.bytes;
  }

  /** Begins a holding without bytes. */
  open(giveUp?: () => void): HeldBytes {
    const holder = new HeldBytes(this, giveUp);
    this.holders.add(holder);
    return holder;
  }

  /** Changes an amount, and gives up holders beyond the limit. */
  change(holder: HeldBytes, resource: Resource, amount: number): void {
    if (!this.holders.has(holder)) return;
    holder[resource] += amount;
    this.totals[resource] += amount;
    if (amount > 0) this.giveUpBeyondLimits();
  }

  /** Ends a holding. */
  remove(holder: HeldBytes): void {
    if (!this.holders.delete(holder)) return;
    this.totals.bytes -= holder.bytes;
    this.totals.pieces -= holder.pieces;
  }

  private get exceeded(): Resource | undefined {
    if (this.totals.bytes > this.options.maxBytes) return 'bytes';
    if (this.totals.pieces > this.options.maxPieces) return 'pieces';
    return undefined;
  }

  private giveUpBeyondLimits(): void {
    for (;;) {
      const resource = this.exceeded;
      if (resource === undefined) return;
      const largest = this.findLargest(resource);
      if (largest?.giveUp === undefined) return;
      this.remove(largest);
      this.options.onGivenUp();
      largest.giveUp();
    }
  }

  /** Returns the largest that can be given up, unless no other holds any. */
  private findLargest(resource: Resource): HeldBytes | undefined {
    let largest: HeldBytes | undefined;
    let holding = 0;
    for (const holder of this.holders) {
      if (holder[resource] === 0) continue;
      holding++;
      if (holder.giveUp === undefined) continue;
      if (holder[resource] > (largest?.[resource] ?? 0)) largest = holder;
    }
    return holding > 1 ? largest : undefined;
  }
}
