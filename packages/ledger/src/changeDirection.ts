/**
 * @fileoverview Classifies contract changes as tightening or loosening.
 *
 * A tightening change must not be accepted while an instance can still act
 * under the older version; a loosening one can be accepted at once. Any price
 * change is tightening, since existing grants bill at the older prices.
 */
import {
  type Contract,
  type Limits,
  type ModelTerms,
  type ServiceTerms,
  type Workspace,
} from '@dogwoodtrestle/schema';

/** Effect of a change on what a customer may use. */
export type ChangeDirection = 'tightening' | 'loosening' | 'neutral';

/** Direction of the change of one field. */
export interface FieldChange {
  /** JSON pointer in which list items are given by name, not by index. */
  path: string;
  direction: ChangeDirection;
}

/** Returns the direction of a change: tightening if any field is. */
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

/** Returns the fields that differ, each with its direction. */
export function compareContracts(
  before: Contract,
  after: Contract,
): FieldChange[] {
  const changes = [
    fieldChange(
      '/budget/prepaid',
      compareAmounts(before.budget.prepaid, after.budget.prepaid),
    ),
    fieldChange(
      '/budget/currency',
      compareValues(before.budget.currency, after.budget.currency),
    ),
    fieldChange('/priority', compareValues(before.priority, after.priority)),
    ...compareLimits('/limits', before.limits, after.limits),
    ...compareLists('/models', before.models, after.models, compareModels),
    ...compareLists(
      '/services',
      before.services,
      after.services,
      compareServices,
    ),
    ...compareLists(
      '/workspaces',
      before.workspaces,
      after.workspaces,
      compareWorkspaces,
    ),
    fieldChange(
      '/partition/servingSeconds',
      compareAmounts(
        before.partition.servingSeconds,
        after.partition.servingSeconds,
      ),
    ),
    fieldChange(
      '/partition/grantPercent',
      compareAmounts(
        before.partition.grantPercent,
        after.partition.grantPercent,
      ),
    ),
  ];
  return changes.filter(({direction}) => direction !== 'neutral');
}

function compareModels(
  path: string,
  before: ModelTerms,
  after: ModelTerms,
): FieldChange[] {
  return [
    fieldChange(
      `${path}/inputPrice`,
      compareValues(before.inputPrice, after.inputPrice),
    ),
    fieldChange(
      `${path}/outputPrice`,
      compareValues(before.outputPrice, after.outputPrice),
    ),
    fieldChange(
      `${path}/adapters`,
      compareSets(before.adapters, after.adapters),
    ),
    fieldChange(
      `${path}/version`,
      compareValues(before.version, after.version),
    ),
  ];
}

function compareServices(
  path: string,
  before: ServiceTerms,
  after: ServiceTerms,
): FieldChange[] {
  return [
    fieldChange(
      `${path}/callPrice`,
      compareValues(before.callPrice, after.callPrice),
    ),
  ];
}

function compareWorkspaces(
  path: string,
  before: Workspace,
  after: Workspace,
): FieldChange[] {
  return [
    fieldChange(
      `${path}/keyHash`,
      compareValues(before.keyHash, after.keyHash),
    ),
    fieldChange(
      `${path}/sharePercent`,
      compareAmounts(before.sharePercent, after.sharePercent),
    ),
    ...compareLimits(`${path}/limits`, before.limits, after.limits),
  ];
}

function compareLimits(
  path: string,
  before: Limits,
  after: Limits,
): FieldChange[] {
  return (['requestsPerSecond', 'concurrentRequests'] as const).map(name =>
    fieldChange(
      `${path}/${name}`,
      compareAmounts(before[name] ?? Infinity, after[name] ?? Infinity),
    ),
  );
}

/** Compares two lists whose items are matched by name. */
function compareLists<T extends {name: string}>(
  path: string,
  before: T[],
  after: T[],
  compareItems: (path: string, before: T, after: T) => FieldChange[],
): FieldChange[] {
  const beforeByName = new Map(before.map(item => [item.name, item]));
  const afterByName = new Map(after.map(item => [item.name, item]));
  const removed = before
    .filter(({name}) => !afterByName.has(name))
    .map(({name}) => fieldChange(`${path}/${name}`, 'tightening'));
  const addedOrChanged = after.flatMap(item => {
    const previous = beforeByName.get(item.name);
    const itemPath = `${path}/${item.name}`;
    if (previous === undefined) return [fieldChange(itemPath, 'loosening')];
    return compareItems(itemPath, previous, item);
  });
  return [...removed, ...addedOrChanged];
}

function fieldChange(path: string, direction: ChangeDirection): FieldChange {
  return {path, direction};
}

/** A lower amount is tightening, a higher one loosening. */
function compareAmounts(before: number, after: number): ChangeDirection {
  if (before === after) return 'neutral';
  return after < before ? 'tightening' : 'loosening';
}

/** Any new value is tightening, since the older one must not be used. */
function compareValues(before: unknown, after: unknown): ChangeDirection {
  return before === after ? 'neutral' : 'tightening';
}

function compareSets(before: string[], after: string[]): ChangeDirection {
  if (before.some(item => !after.includes(item))) return 'tightening';
  return after.some(item => !before.includes(item)) ? 'loosening' : 'neutral';
}
