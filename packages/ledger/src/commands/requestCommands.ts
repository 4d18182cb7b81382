/** @fileoverview Commands that open, adopt and settle connected requests. */
import {
  type AdoptRequest,
  type Bill,
  type BilledResult,
  type Contract,
  type DuplicateResult,
  type OpenRequest,
  type OpenResult,
  type RefusalCode,
  type RefusedResult,
  type RequestOutcome,
  type SettleRequest,
  type StoredAnswer,
  type Target,
  type Workspace,
} from '@dogwoodtrestle/schema';

import {
  type Account,
  availableAmount,
  charge,
  release,
  reserve,
  availableShare,
} from '../account.js';
import {remainingAmount} from '../grant.js';
import {checkLimits, recordRateUsage} from '../contractLimits.js';
import {type LedgerState} from '../ledgerState.js';
import {
  type OpenRequestRecord,
  type SettledRequestRecord,
} from '../requestStore.js';
import {scopedKey} from '../util/scopedKey.js';

/** Prices of a target in micros: per token, or per call of a service. */
export interface Prices {
  inputPrice: number;
  outputPrice: number;
}

const missingTargetCodes = {
  model: 'modelNotAllowed',
  service: 'serviceNotAllowed',
} as const;

/** Opens a request: reserves its maximum cost so that it may run. */
export function openRequest(
  state: LedgerState,
  command: OpenRequest,
): OpenResult | DuplicateResult | RefusedResult {
  const requestKey = scopedKey(command);
  const known = findRequest(state, requestKey);
  if (known !== undefined) {
    if (known.fingerprint !== command.fingerprint) return refuse('keyReused');
    if (!isReopenable(known)) return createDuplicateResult(known);
  }
  if (state.requests.isForgotten(requestKey)) return refuse('keyTooOld');
  const account = state.accounts.get(command.customer);
  if (account === undefined) return refuse('unknownCustomer');
  const {newest} = account;
  const contractVersion = newest.version;
  if (newest.retired) return {...refuse('contractRetired'), contractVersion};
  if (command.contractVersion !== contractVersion) {
    return {...refuse('staleContract'), contractVersion};
  }
  const workspace = newest.contract.workspaces.find(
    ({name}) => name === command.workspace,
  );
  if (workspace === undefined) return refuse('unknownWorkspace');
  const prices = findPrices(newest.contract, command.target);
  if (prices === undefined) {
    return refuse(missingTargetCodes[command.target.kind]);
  }
  const refusal =
    checkLimits(account, workspace, state.now) ??
    checkBudget(account, workspace, command.maximumCost);
  if (refusal !== undefined) return refusal;
  recordRateUsage(account, workspace, state.now);
  reserve(account, command.workspace, command.maximumCost);
  const attempt = known === undefined ? 1 : known.bill.attempt + 1;
  state.requests.settled.delete(requestKey);
  state.requests.open.set(requestKey, {
    ...openRecordFields(command),
    ...prices,
    requestKey,
    attempt,
    openedAt: state.now,
  });
  return {kind: 'opened', requestKey, attempt};
}

/**
 * Returns whether a request may be opened again under its key: it was billed
 * 0 because it did not run or, if idempotent, its response was interrupted.
 */
function isReopenable(
  record: OpenRequestRecord | SettledRequestRecord,
): record is SettledRequestRecord {
  if (!('bill' in record) || !isUnbilledFailure(record.bill)) return false;
  return record.idempotent || record.bill.outcome === 'didNotRun';
}

/** Returns whether a settlement costs 0 because the attempt failed. */
export function isUnbilledFailure({
  cost,
  outcome,
}: Pick<Bill, 'cost' | 'outcome'>): boolean {
  return outcome === 'didNotRun' || (outcome === 'cutOff' && cost === 0);
}

/** Transfers an open idempotent request to another instance. */
export function adoptRequest(
  state: LedgerState,
  command: AdoptRequest,
): OpenResult | DuplicateResult | RefusedResult {
  const {requestKey, expectedAttempt, holder} = command;
  const record = state.requests.open.get(requestKey);
  if (record === undefined) {
    const settled = state.requests.settled.get(requestKey);
    return settled === undefined
      ? refuseMissingRequest(state, requestKey)
      : createDuplicateResult(settled);
  }
  if (!record.idempotent) return refuse('notIdempotent');
  if (record.attempt !== expectedAttempt) return refuse('attemptSuperseded');
  record.attempt++;
  record.holder = holder;
  return {kind: 'opened', requestKey, attempt: record.attempt};
}

/** Bills a request; a repeated settlement returns the first bill. */
export function settleRequest(
  state: LedgerState,
  command: SettleRequest,
): BilledResult | RefusedResult {
  const {requestKey} = command;
  const record = state.requests.open.get(requestKey);
  if (record === undefined) {
    const settled = state.requests.settled.get(requestKey);
    return settled === undefined
      ? refuseMissingRequest(state, requestKey)
      : {kind: 'billed', bill: settled.bill, repeated: true};
  }
  // A failure of an earlier attempt doesn't settle the newest one.
  if (command.attempt < record.attempt && isUnbilledFailure(command)) {
    return refuse('attemptSuperseded');
  }
  if (command.onlyHolder === true && command.instance !== record.holder) {
    return refuse('attemptSuperseded');
  }
  const {cost, outcome} = capCost(command, record.maximumCost);
  const bill: Bill = {
    requestKey,
    customer: record.customer,
    workspace: record.workspace,
    target: record.target,
    cost,
    ...(command.usage === undefined ? {} : {usage: command.usage}),
    outcome,
    attempt: command.attempt,
    attempts: command.attempts,
    contractVersion: record.contractVersion,
    inputPrice: record.inputPrice,
    outputPrice: record.outputPrice,
    instance: command.instance,
    ...(command.backend === undefined ? {} : {backend: command.backend}),
    traceId: record.traceId,
    settledAt: command.settledAt > 0 ? command.settledAt : state.now,
    index: state.index,
  };
  closeOpenRequest(state, record);
  recordBill(state, bill, record, command.answer);
  return {kind: 'billed', bill, repeated: false};
}

/** Releases the reservation of an open request and removes it. */
export function closeOpenRequest(
  state: LedgerState,
  record: OpenRequestRecord,
): void {
  state.requests.open.delete(record.requestKey);
  const account = state.accounts.get(record.customer);
  if (account !== undefined) {
    release(account, record.workspace, record.maximumCost);
  }
}

/** Charges a bill to its customer and records the request as settled. */
export function recordBill(
  state: LedgerState,
  bill: Bill,
  request: Pick<SettledRequestRecord, 'fingerprint' | 'holder' | 'idempotent'>,
  answer?: StoredAnswer,
): void {
  const account = state.accounts.get(bill.customer);
  if (account !== undefined) charge(account, bill.workspace, bill.cost);
  state.bills.push(bill);
  state.requests.addSettled({
    requestKey: bill.requestKey,
    fingerprint: request.fingerprint,
    holder: request.holder,
    idempotent: request.idempotent,
    bill,
    ...(answer === undefined ? {} : {answer}),
    billedAt: state.now,
  });
}

/** Returns the cost to bill, limited to the reserved amount. */
export function capCost(
  settlement: {cost: number; outcome: RequestOutcome},
  maximumCost: number,
): {cost: number; outcome: RequestOutcome} {
  const {cost, outcome} = settlement;
  if (outcome === 'didNotRun') return {cost: 0, outcome};
  if (cost <= maximumCost) return {cost, outcome};
  return {cost: maximumCost, outcome: 'overReported'};
}

/** Returns a target's prices, or undefined if the contract excludes it. */
export function findPrices(
  contract: Contract,
  target: Target,
): Prices | undefined {
  if (target.kind === 'model') {
    const model = contract.models.find(({name}) => name === target.name);
    if (model === undefined) return undefined;
    return {inputPrice: model.inputPrice, outputPrice: model.outputPrice};
  }
  const service = contract.services.find(({name}) => name === target.name);
  if (service === undefined) return undefined;
  return {inputPrice: service.callPrice, outputPrice: 0};
}

/** Returns a refusal without details. */
export function refuse(code: RefusalCode): RefusedResult {
  return {kind: 'refused', code};
}

function refuseMissingRequest(
  state: LedgerState,
  requestKey: string,
): RefusedResult {
  const isForgotten = state.requests.isForgotten(requestKey);
  return refuse(isForgotten ? 'keyTooOld' : 'unknownRequest');
}

function findRequest(
  state: LedgerState,
  requestKey: string,
): OpenRequestRecord | SettledRequestRecord | undefined {
  const {open, settled} = state.requests;
  return open.get(requestKey) ?? settled.get(requestKey);
}

function createDuplicateResult(
  record: OpenRequestRecord | SettledRequestRecord,
): DuplicateResult {
  const {requestKey, holder, idempotent} = record;
  const base = {kind: 'duplicate', requestKey, holder, idempotent} as const;
  if ('openedAt' in record) {
    const {attempt, openedAt, traceId, backend} = record;
    const result = {
      ...base,
      status: 'open',
      attempt,
      openedAt,
      traceId,
    } as const;
    return backend === undefined ? result : {...result, backend};
  }
  const {bill, answer} = record;
  const {attempt, traceId} = bill;
  const result = {...base, status: 'settled', attempt, traceId, bill} as const;
  return answer === undefined ? result : {...result, answer};
}

/** Returns a refusal if the balance or share doesn't cover a request. */
function checkBudget(
  account: Account,
  workspace: Workspace,
  maximumCost: number,
): RefusedResult | undefined {
  const available = availableAmount(account);
  const shareBalance = availableShare(account, workspace);
  if (maximumCost <= available && maximumCost <= shareBalance) return undefined;
  const sums = account.workspaces.get(workspace.name);
  const isShareExhausted = maximumCost <= available;
  return {
    kind: 'refused',
    code: isShareExhausted ? 'workspaceShareExhausted' : 'budgetExhausted',
    available: isShareExhausted ? shareBalance : available,
    reserved: isShareExhausted ? (sums?.reserved ?? 0) : account.reserved,
    recallable: [...account.grants.values()]
      .map(grant => ({
        grantId: grant.grantId,
        holder: grant.holder,
        remaining: remainingAmount(grant),
      }))
      .filter(({remaining}) => remaining > 0),
  };
}

function openRecordFields(
  command: OpenRequest,
): Omit<
  OpenRequestRecord,
  'requestKey' | 'inputPrice' | 'outputPrice' | 'attempt' | 'openedAt'
> {
  const {
    fingerprint,
    customer,
    workspace,
    target,
    maximumCost,
    unknownCost,
    contractVersion,
    holder,
    backend,
    idempotent,
    traceId,
  } = command;
  return {
    fingerprint,
    customer,
    workspace,
    target,
    maximumCost,
    unknownCost: Math.min(unknownCost ?? 0, maximumCost),
    contractVersion,
    holder,
    ...(backend === undefined ? {} : {backend}),
    idempotent,
    traceId,
  };
}
