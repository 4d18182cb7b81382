/** @fileoverview Commands, records and a ledger for tests. */
import {
  type ApplyContract,
  type Command,
  type Contract,
  type JournalRecord,
  type OpenRequest,
  type Result,
  type SettleRequest,
  type TakeGrant,
} from '@dogwoodtrestle/schema';
import {Ledger, type LedgerOptions} from '@dogwoodtrestle/ledger';

export const second = 1000;

export function keyHash(seed: number): string {
  return `sha256:${seed.toString(16).padStart(64, '0')}`;
}

export function createContract(changes: Partial<Contract> = {}): Contract {
  return {
    customer: 'barley',
    budget: {prepaid: 1000, currency: 'CAD'},
    models: [{name: 'm', inputPrice: 1, outputPrice: 2, adapters: []}],
    services: [{name: 'booking', callPrice: 5}],
    priority: 'normal',
    limits: {},
    workspaces: [
      {name: 'desk', keyHash: keyHash(1), sharePercent: 100, limits: {}},
      {name: 'lab', keyHash: keyHash(2), sharePercent: 20, limits: {}},
    ],
    partition: {
      servingSeconds: 60,
      grantPercent: 30,
      exhaustionWaitMilliseconds: 0,
    },
    ...changes,
  };
}

export function applyContractCommand(
  changeId: string,
  expectedVersion: number,
  changes: Partial<Contract> = {},
): ApplyContract {
  return {
    kind: 'applyContract',
    changeId,
    operator: 'ann',
    expectedVersion,
    contract: createContract(changes),
  };
}

export function openRequestCommand(
  changes: Partial<OpenRequest> = {},
): OpenRequest {
  return {
    kind: 'openRequest',
    requestKey: 'k1',
    fingerprint: 'f',
    customer: 'barley',
    workspace: 'desk',
    target: {kind: 'model', name: 'm'},
    maximumCost: 100,
    unknownCost: 0,
    contractVersion: 1,
    holder: 'r1',
    idempotent: true,
    traceId: 't1',
    ...changes,
  };
}

export function settleRequestCommand(
  changes: Partial<SettleRequest> = {},
): SettleRequest {
  return {
    kind: 'settleRequest',
    requestKey: 'barley/desk/k1',
    attempt: 1,
    cost: 60,
    outcome: 'completed',
    instance: 'r1',
    attempts: 1,
    settledAt: 0,
    ...changes,
  };
}

export function takeGrantCommand(changes: Partial<TakeGrant> = {}): TakeGrant {
  return {
    kind: 'takeGrant',
    grantId: 'g1',
    customer: 'barley',
    holder: 'r1',
    journal: 'r1',
    amount: 200,
    contractVersion: 1,
    ...changes,
  };
}

/** Returns a journal record, settled if a cost is given. */
export function createJournalRecord(
  sequence: number,
  cost?: number,
  changes: Partial<JournalRecord> = {},
): JournalRecord {
  return {
    sequence,
    requestKey: `j${sequence}`,
    fingerprint: 'f',
    workspace: 'desk',
    target: {kind: 'model', name: 'm'},
    maximumCost: 50,
    contractVersion: 1,
    traceId: 't',
    ...(cost === undefined
      ? {}
      : {
          settlement: {
            cost,
            outcome: 'completed' as const,
            attempts: 1,
            settledAt: 0,
          },
        }),
    ...changes,
  };
}

/** Ledger with its own log index and time. */
export class LedgerFixture {
  readonly ledger: Ledger;
  index = 0;
  now = 1_000_000;

  constructor(options: Partial<LedgerOptions> = {}) {
    this.ledger = new Ledger(options);
  }

  /** Returns a ledger in which the customer `barley` has its first contract. */
  static withContract(
    changes: Partial<Contract> = {},
    options: Partial<LedgerOptions> = {},
  ): LedgerFixture {
    const fixture = new LedgerFixture(options);
    fixture.apply(applyContractCommand('first', 0, changes));
    return fixture;
  }

  apply<R extends Result = Result>(
    command: Command,
    elapsedMilliseconds = 0,
  ): R {
    this.now += elapsedMilliseconds;
    const context = {index: ++this.index, timestamp: this.now};
    return this.ledger.apply(structuredClone(command), context) as R;
  }

  applyAll(commands: Command[]): Result[] {
    return commands.map(command => this.apply(command));
  }
}
