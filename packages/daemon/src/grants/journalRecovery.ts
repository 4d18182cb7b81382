/**
 * @fileoverview Closes grants whose holder is unreachable, from the journals on
 * this instance's disk.
 *
 * A journal of an earlier process of this instance is recovered at once.
 * Another holder's journal is recovered only once the grant has expired by
 * ledger time and the holder has been unreachable for a timeout. Journals are
 * sealed before their grant is closed.
 */
import {type CustomerGrant} from '@dogwoodtrestle/ledger';
import {type JournalHeader} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {returnGrant} from './grantAccounts.js';
import {type JournalStore} from './journalStore.js';

/** Options of journal recovery. */
export interface JournalRecoveryOptions {
  store: JournalStore;
  /** Identity of this process: `name#incarnation`. */
  holder: string;
  ledgerClient: Pick<LedgerClient, 'submit' | 'query' | 'connected'>;
  /** Whether the process of a holder is known to be alive. */
  isHolderAlive: (holder: string) => boolean;
  /** Time for which a holder must have been unreachable. */
  holderTimeoutMilliseconds: number;
  clock?: Clock;
  logger?: Logger;
  intervalMilliseconds?: number;
}

const defaultOptions = {
  clock: systemClock,
  logger: silentLogger,
  intervalMilliseconds: 2000,
};

/** Closes the grants of orphaned journals and removes the journals. */
export class JournalRecovery {
  private readonly options: Required<JournalRecoveryOptions>;
  private readonly task: PeriodicTask;
  /** Monotonic time since which each holder is unreachable. */
  private readonly unreachableSince = new Map<string, number>();

  constructor(options: JournalRecoveryOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.task = new PeriodicTask({
      name: 'journal recovery',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.task.start();
  }

  async stop(): Promise<void> {
    await this.task.stop();
  }

  /** Checks all journals once; public for tests. */
  async runOnce(): Promise<void> {
    const {store, ledgerClient, holder} = this.options;
    const otherHeaders = store
      .headers()
      .filter(header => header.holder !== holder);
    if (otherHeaders.length === 0 || !ledgerClient.connected) return;
    const grants = new Map(
      (await ledgerClient.query('grants')).map(each => [each.grantId, each]),
    );
    for (const header of otherHeaders) {
      await this.recover(header, grants.get(header.grantId));
    }
  }

  private async recover(
    header: JournalHeader,
    grant: CustomerGrant | undefined,
  ): Promise<void> {
    const {store, ledgerClient, logger} = this.options;
    const {grantId, holder} = header;
    const ready = this.isPredecessor(holder)
      ? grant !== undefined || this.hasTimedOut(holder)
      : this.hasTimedOut(holder) && (grant?.expired ?? true);
    if (!ready) return;
    if (grant !== undefined) {
      await store.seal(grantId);
      const records = store.records(grantId);
      const account = await returnGrant(ledgerClient, grantId, records);
      logger.info({grantId, holder, ...account}, 'orphaned grant returned');
    }
    await store.remove(grantId);
  }

  /** Whether a holder is an earlier process of this instance. */
  private isPredecessor(holder: string): boolean {
    return instanceNameOf(holder) === instanceNameOf(this.options.holder);
  }

  private hasTimedOut(holder: string): boolean {
    const {clock, isHolderAlive, holderTimeoutMilliseconds} = this.options;
    if (isHolderAlive(holder)) {
      this.unreachableSince.delete(holder);
      return false;
    }
    const since = this.unreachableSince.get(holder) ?? clock.now();
    this.unreachableSince.set(holder, since);
    return clock.now() - since >= holderTimeoutMilliseconds;
  }
}

function instanceNameOf(holder: string): string {
  return holder.split('#')[0] ?? holder;
}
