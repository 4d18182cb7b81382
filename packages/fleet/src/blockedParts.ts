/**
 * @fileoverview Parts of prompts and requests that crash backend servers, in the
 * replicated state. They are refused until they are unblocked. A request has the
 * form of a part's id in it, so that earlier versions read the state; see
 * `crashSubject`.
 */
import {
  type BlockedPart,
  type BlockedParts,
  type BlockPart,
} from '@dogwoodtrestle/schema';

/** Most blocked parts; the oldest ones are unblocked beyond it. */
const maxBlockedParts = 500;

/** Blocked parts by id. */
export class BlockedPartList {
  private readonly parts = new Map<string, BlockedPart>();
  private revision = 0;

  /** The list as a JSON value. */
  get state(): BlockedParts {
    return {revision: this.revision, parts: [...this.parts.values()]};
  }

  /** Replaces the list by one of a snapshot. */
  restore({revision, parts}: BlockedParts): void {
    this.revision = revision;
    this.parts.clear();
    for (const blocked of parts) this.parts.set(blocked.part, blocked);
  }

  /** Returns a blocked part. */
  find(part: string): BlockedPart | undefined {
    return this.parts.get(part);
  }

  /**
   * Blocks a part, for one workspace or for all; one that is blocked for another
   * workspace is then blocked for all. It is blocked with the companions that all
   * its blocks have in common.
   *
   * @param now Time by the replicated log, in milliseconds.
   */
  block(
    {part, workspace, crashes, companions}: BlockPart,
    now: number,
  ): BlockedPart {
    const known = this.parts.get(part);
    const common = commonCompanions(known, companions ?? []);
    const isSame = known === undefined || known.workspace === workspace;
    const blocked: BlockedPart = {
      part,
      ...(isSame && workspace !== undefined && {workspace}),
      blockedAt: known?.blockedAt ?? now,
      crashes: crashes + (known?.crashes ?? 0),
      ...(common.length > 0 && {companions: common}),
    };
    this.parts.set(part, blocked);
    this.revision++;
    if (this.parts.size > maxBlockedParts) {
      const [oldest] = this.parts.keys();
      this.parts.delete(oldest ?? '');
    }
    return blocked;
  }

  /** Unblocks a part; returns whether it was blocked. */
  unblock(part: string): boolean {
    if (!this.parts.delete(part)) return false;
    this.revision++;
    return true;
  }
}

function commonCompanions(
  known: BlockedPart | undefined,
  companions: readonly string[],
): string[] {
  if (known === undefined) return [...companions];
  return (known.companions ?? []).filter(one => companions.includes(one));
}

/** Whether a block refuses requests with these subjects. */
export function isRefusedBy(
  {part, companions = []}: Pick<BlockedPart, 'part' | 'companions'>,
  subjects: readonly string[],
): boolean {
  return [part, ...companions].every(one => subjects.includes(one));
}
