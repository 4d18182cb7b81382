/**
 * @fileoverview Tells whether a contract change takes rights away.
 *
 * A tightening change must not be confirmed while an instance can still act
 * on the older version; a loosening one can be confirmed at once. A change
 * of price tightens either way, since grants bill under the older prices.
 */
import {
  type Contract,
  type Limits,
  type ModelTerms,
  type ServiceTerms,
  type Workspace,
} from '@dogwoodtrestle/schema';

/** What a change does to the rights of a customer. */
export type ChangeDirection = 'tightening' | 'loosening' | 'neutral';

/** Direction of one field's change. */
export interface FieldChange {
  /** JSON pointer; items of lists are named, not numbered. */
  path: string;
  direction: ChangeDirection;
}

/** Direction of a whole change: tightening if any of its fields tightens. */
export function classifyChange(
  before: Contract,
  after: Contract,
): ChangeDirection {
  const changes = compareContracts(before, after);
  if (changes.some(({direction}) => direction === 'tightening')) {
    return 'tightening';
  }
  return changes.some(({direction}) => direction === 'loosening')
    ? 'loosening'
    : 'neutral';
}

/** Returns the fields that a change alters, each with its direction. */
export function compareContracts(
  before: Contract,
  after: Contract,
): FieldChange[] {
  const changes = [
    field(
      '/budget/prepaid',
      amount(before.budget.prepaid, after.budget.prepaid),
    ),
    field(
      '/budget/currency',
      replacement(before.budget.currency, after.budget.currency),
    ),
    field('/priority', replacement(before.priority, after.priority)),
    ...limitChanges('/limits', before.limits, after.limits),
    ...listChanges('/models', before.models, after.models, modelChanges),
    ...listChanges(
      '/services',
      before.services,
      after.services,
      serviceChanges,
    ),
    ...listChanges(
      '/workspaces',
      before.workspaces,
      after.workspaces,
      workspaceChanges,
    ),
    field(
      '/partition/servingSeconds',
      amount(before.partition.servingSeconds, after.partition.servingSeconds),
    ),
    field(
      '/partition/grantPercent',
      amount(before.partition.grantPercent, after.partition.grantPercent),
    ),
  ];
  return changes.filter(({direction}) => direction !== 'neutral');
}

function modelChanges(
  path: string,
  before: ModelTerms,
  after: ModelTerms,
): FieldChange[] {
  return [
    field(
      `${path}/inputPrice`,
      replacement(before.inputPrice, after.inputPrice),
    ),
    field(
      `${path}/outputPrice`,
      replacement(before.outputPrice, after.outputPrice),
    ),
    field(`${path}/adapters`, members(before.adapters, after.adapters)),
    field(`${path}/version`, replacement(before.version, after.version)),
  ];
}

function serviceChanges(
  path: string,
  before: ServiceTerms,
  after: ServiceTerms,
): FieldChange[] {
  return [
    field(`${path}/callPrice`, replacement(before.callPrice, after.callPrice)),
  ];
}

function workspaceChanges(
  path: string,
  before: Workspace,
  after: Workspace,
): FieldChange[] {
  return [
    field(`${path}/keyHash`, replacement(before.keyHash, after.keyHash)),
    field(
      `${path}/sharePercent`,
      amount(before.sharePercent, after.sharePercent),
    ),
    ...limitChanges(`${path}/limits`, before.limits, after.limits),
  ];
}

function limitChanges(
  path: string,
  before: Limits,
  after: Limits,
): FieldChange[] {
  return (['requestsPerSecond', 'concurrentRequests'] as const).map(name =>
    field(
      `${path}/${name}`,
      amount(before[name] ?? Infinity, after[name] ?? Infinity),
    ),
  );
}

/** Compares the items of two lists that bear the same name. */
function listChanges<T extends {name: string}>(
  path: string,
  before: T[],
  after: T[],
  itemChanges: (path: string, before: T, after: T) => FieldChange[],
): FieldChange[] {
  const older = new Map(before.map(item => [item.name, item]));
  const newer = new Map(after.map(item => [item.name, item]));
  const removed = before
    .filter(({name}) => !newer.has(name))
    .map(({name}) => field(`${path}/${name}`, 'tightening'));
  const rest = after.flatMap(item => {
    const match = older.get(item.name);
    const itemPath = `${path}/${item.name}`;
    if (match === undefined) return [field(itemPath, 'loosening')];
    return itemChanges(itemPath, match, item);
  });
  return [...removed, ...rest];
}

function field(path: string, direction: ChangeDirection): FieldChange {
  return {path, direction};
}

/** A lower amount tightens, a higher one loosens. */
function amount(before: number, after: number): ChangeDirection {
  if (before === after) return 'neutral';
  return after < before ? 'tightening' : 'loosening';
}

/** Any other value tightens, since the older one must not be used. */
function replacement(before: unknown, after: unknown): ChangeDirection {
  return before === after ? 'neutral' : 'tightening';
}

function members(before: string[], after: string[]): ChangeDirection {
  if (before.some(item => !after.includes(item))) return 'tightening';
  return after.some(item => !before.includes(item)) ? 'loosening' : 'neutral';
}
