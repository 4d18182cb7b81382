/**
 * @fileoverview Recognizes results of resent `openRequest` commands.
 *
 * A command whose answer was lost is sent again. If the first copy of an
 * `openRequest` was applied, the second is answered with `duplicate`, which must
 * not be mistaken for a request that a caller repeated. The result is converted
 * to `opened` only if no other command can have caused it: this process sent a
 * single open for the key, the ledger names this instance as the holder, and
 * the key was opened after this process first reached the ledger, hence not by
 * an earlier process of the same instance.
 */
import {type Command, type Result} from '@dogwoodtrestle/schema';

const maxTrackedKeys = 100_000;

/** Tracks the opens and adoptions that this process has sent. */
export class SentCommandTracker {
  /** Number of commands sent, by command key. */
  private readonly sent = new Map<string, number>();
  private firstLedgerTime: number | undefined;

  /** Records a ledger time reported by the leader. */
  recordLedgerTime(ledgerTime: number): void {
    this.firstLedgerTime ??= ledgerTime;
  }

  /** Records a command that is about to be sent for the first time. */
  recordSent(command: Command): void {
    const key = keyOf(command);
    if (key === undefined) return;
    this.sent.set(key, (this.sent.get(key) ?? 0) + 1);
    this.dropOldest();
  }

  /**
   * Converts the ledger's result of a command to the sender's result.
   *
   * @param resent Whether an earlier copy of it may have been applied.
   */
  resolveResult(command: Command, result: Result, resent: boolean): Result {
    if (command.kind !== 'openRequest') return result;
    if (result.kind !== 'duplicate' || !resent) return result;
    const {status, holder, openedAt = -Infinity, attempt} = result;
    const isOwnOpen =
      status === 'open' &&
      holder === command.holder &&
      this.isSentOnce(command) &&
      openedAt > (this.firstLedgerTime ?? Infinity);
    if (!isOwnOpen) return result;
    return {kind: 'opened', requestKey: result.requestKey, attempt};
  }

  /** Whether this process has sent exactly one command with this key. */
  isSentOnce(command: Command): boolean {
    const key = keyOf(command);
    return key !== undefined && this.sent.get(key) === 1;
  }

  private dropOldest(): void {
    if (this.sent.size <= maxTrackedKeys) return;
    const oldest = this.sent.keys().next().value;
    if (oldest !== undefined) this.sent.delete(oldest);
  }
}

/** Key of a command that opens or adopts a request. */
function keyOf(command: Command): string | undefined {
  if (command.kind === 'openRequest') {
    const {customer, workspace, requestKey} = command;
    return `${customer}/${workspace}/${requestKey}`;
  }
  if (command.kind === 'adoptRequest') {
    return `${command.requestKey} after ${command.expectedAttempt}`;
  }
  return undefined;
}
