/**
 * @fileoverview A grant held by this instance, with its journal records.
 */
import {scopedKey} from '@dogwoodtrestle/ledger';
import {
  type GrantResult,
  type JournalRecord,
  type JournalSettlement,
  type OpenRequest,
  type WorkspaceAllowance,
} from '@dogwoodtrestle/schema';

import {type Clock} from '@dogwoodtrestle/runtime';
import {type JournalLocation} from './journalLocation.js';
import {Stopwatch} from '../util/stopwatch.js';

/** Request to be opened on a grant; costs in micros. */
export type GrantOpenRequest = Pick<
  OpenRequest,
  | 'contractVersion'
  | 'customer'
  | 'fingerprint'
  | 'maximumCost'
  | 'requestKey'
  | 'target'
  | 'traceId'
  | 'workspace'
> & {unknownCost?: number};

/** Options of a held grant. */
export interface HeldGrantOptions {
  grantId: string;
  customer: string;
  /** Requested amount, in micros. */
  amount: number;
  /** Contract version under which the grant is requested. */
  contractVersion: number;
  place: JournalLocation;
  clock: Clock;
}

/** Records and remaining amount of one grant; amounts in micros. */
export class HeldGrant {
  /** Whether the grant is being returned and accepts no more requests. */
  returning = false;
  private readonly records = new Map<string, JournalRecord>();
  private readonly bySequence = new Map<number, JournalRecord>();
  private readonly merged = new Set<number>();
  private readonly heldByWorkspace = new Map<string, number>();
  private held = 0;
  private amount = 0;
  private servingMilliseconds = 0;
  /** Allowances at acquisition; all records count against them. */
  private allowances: WorkspaceAllowance[] | undefined;
  private sinceRenewal: Stopwatch;
  private version: number;
  private newestSequence = 0;

  /** Creates a grant that can't be spent before the first `renew`. */
  constructor(readonly options: HeldGrantOptions) {
    this.version = options.contractVersion;
    this.sinceRenewal = new Stopwatch(options.clock);
  }

  get grantId(): string {
    return this.options.grantId;
  }

  get contractVersion(): number {
    return this.version;
  }

  /** Elapsed fraction of the serving time; infinite before acquisition. */
  get age(): number {
    return this.sinceRenewal.elapsedMilliseconds / this.servingMilliseconds;
  }

  /** Whether the serving time is over, so that the grant can't be spent. */
  get expired(): boolean {
    return this.sinceRenewal.hasElapsed(this.servingMilliseconds);
  }

  /** Whether any request has been opened on the grant. */
  get used(): boolean {
    return this.records.size > 0;
  }

  /** Total amount of the grant. */
  get size(): number {
    return this.amount;
  }

  /** Amount that no record holds. */
  get remaining(): number {
    return this.amount - this.held;
  }

  /**
   * Applies the result of a command that acquired or renewed the grant.
   *
   * @param sinceRenewal Stopwatch started before the command was sent.
   */
  renew(result: GrantResult, sinceRenewal: Stopwatch): void {
    // The records include what the ledger has billed since.
    this.amount = result.amount;
    this.servingMilliseconds = result.servingMilliseconds;
    this.allowances ??= result.workspaces ?? [];
    this.version = result.contractVersion;
    this.sinceRenewal = sinceRenewal;
  }

  /** Returns the record of a request, if it was opened on this grant. */
  findRecord(opening: GrantOpenRequest): JournalRecord | undefined {
    return this.records.get(scopedKey(opening));
  }

  /** Returns why a request can't be opened, or undefined if it can. */
  refusalReason(opening: GrantOpenRequest): string | undefined {
    const {maximumCost, contractVersion, workspace} = opening;
    if (this.expired) return 'the grant has expired';
    if (this.returning) return 'the grant is being returned';
    if (contractVersion < this.version) return 'the contract has been replaced';
    if (maximumCost > this.remaining) return 'the grant is exhausted';
    if (maximumCost > this.workspaceRemaining(workspace)) {
      return "the workspace's share of the grant is exhausted";
    }
    return undefined;
  }

  /** Reserves the maximum cost of a request and returns its record. */
  reserve(opening: GrantOpenRequest): JournalRecord {
    const record: JournalRecord = {
      ...copyTerms(opening),
      sequence: ++this.newestSequence,
      requestKey: scopedKey(opening),
    };
    this.records.set(record.requestKey, record);
    this.bySequence.set(record.sequence, record);
    this.addHeld(record, record.maximumCost);
    return record;
  }

  /** Records the outcome of a request; later outcomes are ignored. */
  settle(sequence: number, settlement: JournalSettlement): void {
    const record = this.bySequence.get(sequence);
    if (record === undefined || record.settlement !== undefined) return;
    record.settlement = settlement;
    const {maximumCost} = record;
    this.addHeld(record, Math.min(settlement.cost, maximumCost) - maximumCost);
  }

  /** Settled records that are not known to be merged into the ledger. */
  get unmerged(): JournalRecord[] {
    return [...this.records.values()].filter(
      ({sequence, settlement}) =>
        settlement !== undefined && !this.merged.has(sequence),
    );
  }

  /** Records whose requests are still running. */
  get unsettled(): JournalRecord[] {
    return [...this.records.values()].filter(
      ({settlement}) => settlement === undefined,
    );
  }

  markMerged(records: JournalRecord[]): void {
    for (const {sequence} of records) this.merged.add(sequence);
  }

  private workspaceRemaining(workspace: string): number {
    const allowance = this.allowances?.find(
      ({workspace: name}) => name === workspace,
    );
    if (allowance === undefined) return Infinity;
    return allowance.amount - (this.heldByWorkspace.get(workspace) ?? 0);
  }

  private addHeld({workspace}: JournalRecord, amount: number): void {
    this.held += amount;
    const held = this.heldByWorkspace.get(workspace) ?? 0;
    this.heldByWorkspace.set(workspace, held + amount);
  }
}

function copyTerms(
  opening: GrantOpenRequest,
): Omit<JournalRecord, 'requestKey' | 'sequence'> {
  const {unknownCost} = opening;
  return {
    contractVersion: opening.contractVersion,
    fingerprint: opening.fingerprint,
    maximumCost: opening.maximumCost,
    target: opening.target,
    traceId: opening.traceId,
    workspace: opening.workspace,
    ...(unknownCost === undefined ? {} : {unknownCost}),
  };
}
