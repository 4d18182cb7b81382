/**
 * @fileoverview A grant that this instance holds, with its records.
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

/** What a request needs to be opened on a grant. */
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

/** What a held grant is made of. */
export interface HeldGrantOptions {
  grantId: string;
  customer: string;
  /** Amount that is asked for. */
  amount: number;
  /** Contract version under which it is asked for. */
  contractVersion: number;
  place: JournalLocation;
  clock: Clock;
}

/** Records of one grant and what is left of it; amounts in micros. */
export class HeldGrant {
  /** Whether the grant is being given back and takes no more requests. */
  returning = false;
  private readonly records = new Map<string, JournalRecord>();
  private readonly bySequence = new Map<number, JournalRecord>();
  private readonly merged = new Set<number>();
  private readonly heldByWorkspace = new Map<string, number>();
  private held = 0;
  private amount = 0;
  private servingMilliseconds = 0;
  /** As of the taking; all records count against them. */
  private allowances: WorkspaceAllowance[] | undefined;
  private deadline: Stopwatch;
  private version: number;
  private newestSequence = 0;

  /** Can't be spent before the first `renew`. */
  constructor(readonly options: HeldGrantOptions) {
    this.version = options.contractVersion;
    this.deadline = new Stopwatch(options.clock);
  }

  get grantId(): string {
    return this.options.grantId;
  }

  get contractVersion(): number {
    return this.version;
  }

  /** Part of the serving time that has passed; infinite before the taking. */
  get age(): number {
    return this.deadline.elapsedMilliseconds / this.servingMilliseconds;
  }

  /** Whether the holder has lost the right to spend the grant. */
  get expired(): boolean {
    return this.deadline.isOver(this.servingMilliseconds);
  }

  /** Whether any request has been opened on the grant. */
  get used(): boolean {
    return this.records.size > 0;
  }

  /** Amount of the whole grant. */
  get size(): number {
    return this.amount;
  }

  /** Amount that isn't held by any record. */
  get remaining(): number {
    return this.amount - this.held;
  }

  /**
   * Takes in the answer to a command that took or renewed the grant.
   *
   * @param deadline Made before the command was sent.
   */
  renew(result: GrantResult, deadline: Stopwatch): void {
    // What the ledger has billed meanwhile is in the records as well.
    this.amount = result.amount;
    this.servingMilliseconds = result.servingMilliseconds;
    this.allowances ??= result.workspaces ?? [];
    this.version = result.contractVersion;
    this.deadline = deadline;
  }

  /** The record of a request, if it was opened on this grant. */
  findRecord(opening: GrantOpenRequest): JournalRecord | undefined {
    return this.records.get(scopedKey(opening));
  }

  /** Reason why a request can't be opened here, if there is one. */
  refusalReason(opening: GrantOpenRequest): string | undefined {
    const {maximumCost, contractVersion, workspace} = opening;
    if (this.expired) return 'the time to spend the grant is over';
    if (this.returning) return 'the grant is being returned';
    if (contractVersion < this.version) return 'the contract has been replaced';
    if (maximumCost > this.remaining) return 'the grant is exhausted';
    if (maximumCost > this.roomOf(workspace)) {
      return "the workspace's part of the grant is exhausted";
    }
    return undefined;
  }

  /** Holds the most that a request can cost, and returns its record. */
  reserve(opening: GrantOpenRequest): JournalRecord {
    const record: JournalRecord = {
      ...termsOf(opening),
      sequence: ++this.newestSequence,
      requestKey: scopedKey(opening),
    };
    this.records.set(record.requestKey, record);
    this.bySequence.set(record.sequence, record);
    this.hold(record, record.maximumCost);
    return record;
  }

  /** Takes in the outcome of a request; the first one stands. */
  settle(sequence: number, settlement: JournalSettlement): void {
    const record = this.bySequence.get(sequence);
    if (record === undefined || record.settlement !== undefined) return;
    record.settlement = settlement;
    const {maximumCost} = record;
    this.hold(record, Math.min(settlement.cost, maximumCost) - maximumCost);
  }

  /** Records that are settled and not known to be merged. */
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

  private roomOf(workspace: string): number {
    const allowance = this.allowances?.find(
      ({workspace: name}) => name === workspace,
    );
    if (allowance === undefined) return Infinity;
    return allowance.amount - (this.heldByWorkspace.get(workspace) ?? 0);
  }

  private hold({workspace}: JournalRecord, amount: number): void {
    this.held += amount;
    const held = this.heldByWorkspace.get(workspace) ?? 0;
    this.heldByWorkspace.set(workspace, held + amount);
  }
}

function termsOf(
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
