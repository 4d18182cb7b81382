/**
 * @fileoverview Recognizes this process's own opens in the ledger's answers.
 *
 * A command whose answer was lost is sent again. If the first copy of an
 * `openRequest` was applied, the second one is answered `duplicate`, which must
 * not be mistaken for a caller's repeated request. The answer is taken for
 * `opened` only if it can't stem from anything but this very command: this
 * process sent one open for the key, the ledger names this instance as the
 * holder, and the key was opened after this process first reached the ledger,
 * so not by an earlier process of the same instance.
 */
import {type Command, type Result} from '@dogwoodtrestle/schema';

const maximumTrackedKeys = 100_000;

/** Tracks the requests that this process has sent opens and adoptions for. */
export class SentCommandTracker {
  /** Commands sent, by their identity. */
  private readonly sent = new Map<string, number>();
  private firstLedgerTime: number | undefined;

  /** Takes in a ledger time that the leader has told. */
  recordLedgerTime(ledgerTime: number): void {
    this.firstLedgerTime ??= ledgerTime;
  }

  /** Takes in a command that is about to be sent for the first time. */
  recordSent(command: Command): void {
    const key = keyOf(command);
    if (key === undefined) return;
    this.sent.set(key, (this.sent.get(key) ?? 0) + 1);
    this.dropOldest();
  }

  /**
   * Returns the result that the sender of a command gets.
   *
   * @param resent Whether an earlier copy may have been applied.
   */
  resolveResult(command: Command, result: Result, resent: boolean): Result {
    if (command.kind !== 'openRequest') return result;
    if (result.kind !== 'duplicate' || !resent) return result;
    const {status, holder, openedAt = -Infinity, attempt} = result;
    const own =
      status === 'open' &&
      holder === command.holder &&
      this.isSentOnce(command) &&
      openedAt > (this.firstLedgerTime ?? Infinity);
    if (!own) return result;
    return {kind: 'opened', requestKey: result.requestKey, attempt};
  }

  /** Whether this process has sent no other command of the same contents. */
  isSentOnce(command: Command): boolean {
    const key = keyOf(command);
    return key !== undefined && this.sent.get(key) === 1;
  }

  private dropOldest(): void {
    if (this.sent.size <= maximumTrackedKeys) return;
    const oldest = this.sent.keys().next().value;
    if (oldest !== undefined) this.sent.delete(oldest);
  }
}

/** Identity of a command that opens a request or takes one over. */
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
