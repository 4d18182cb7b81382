/**
 * @fileoverview Gives the final account of grants whose holder is gone, from
 * the journals on this instance's disk.
 *
 * A journal of an earlier process of this instance is accounted for at once.
 * Another holder's journal is sealed first, and only once the grant's deadline
 * has passed by ledger time and the holder has been gone for a while.
 */
import {type CustomerGrant} from '@dogwoodtrestle/ledger';
import {type JournalHeader} from '@dogwoodtrestle/schema';

import {type LedgerClient} from '../ledgerClient/ledgerClient.js';
import {type Clock, systemClock} from '@dogwoodtrestle/runtime';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {PeriodicTask} from '@dogwoodtrestle/runtime';
import {returnGrant} from './grantAccounts.js';
import {type JournalStore} from './journalStore.js';

/** What the recovery needs. */
export interface JournalRecoveryOptions {
  store: JournalStore;
  /** Identity of this process: `name#incarnation`. */
  holder: string;
  ledgerClient: Pick<LedgerClient, 'submit' | 'query' | 'connected'>;
  /** Whether the process of a holder is still heard of. */
  isHolderAlive: (holder: string) => boolean;
  /** How long a holder must have been gone. */
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

/** Accounts for orphaned journals. */
export class JournalRecovery {
  private readonly options: Required<JournalRecoveryOptions>;
  private readonly rounds: PeriodicTask;
  /** Since when each holder has been found gone, in monotonic time. */
  private readonly goneSince = new Map<string, number>();

  constructor(options: JournalRecoveryOptions) {
    this.options = {...defaultOptions, ...options};
    const {clock, logger, intervalMilliseconds} = this.options;
    this.rounds = new PeriodicTask({
      name: 'journal recovery',
      clock,
      logger,
      intervalMilliseconds,
      run: () => this.runOnce(),
    });
  }

  start(): void {
    this.rounds.start();
  }

  async stop(): Promise<void> {
    await this.rounds.stop();
  }

  /** Looks through all journals once; public for tests. */
  async runOnce(): Promise<void> {
    const {store, ledgerClient, holder} = this.options;
    const foreign = store.headers().filter(header => header.holder !== holder);
    if (foreign.length === 0 || !ledgerClient.connected) return;
    const grants = new Map(
      (await ledgerClient.query('grants')).map(each => [each.grantId, each]),
    );
    for (const header of foreign) {
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
      ? grant !== undefined || this.isLongGone(holder)
      : this.isLongGone(holder) && (grant?.expired ?? true);
    if (!ready) return;
    if (grant !== undefined) {
      await store.seal(grantId);
      const records = store.records(grantId);
      const account = await returnGrant(ledgerClient, grantId, records);
      logger.info({grantId, holder, ...account}, 'orphaned grant returned');
    }
    await store.remove(grantId);
  }

  /** Whether a holder was an earlier process of this instance. */
  private isPredecessor(holder: string): boolean {
    return nameOf(holder) === nameOf(this.options.holder);
  }

  private isLongGone(holder: string): boolean {
    const {clock, isHolderAlive, holderTimeoutMilliseconds} = this.options;
    if (isHolderAlive(holder)) {
      this.goneSince.delete(holder);
      return false;
    }
    const since = this.goneSince.get(holder) ?? clock.now();
    this.goneSince.set(holder, since);
    return clock.now() - since >= holderTimeoutMilliseconds;
  }
}

function nameOf(holder: string): string {
  return holder.split('#')[0] ?? holder;
}
