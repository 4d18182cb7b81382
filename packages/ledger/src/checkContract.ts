/** @fileoverview Contract checks that the schema cannot express. */
import {type Contract, type Finding} from '@dogwoodtrestle/schema';

/** Maximum sum of prepaid amount and top-ups, in micros. */
export const maxBudgetMicros = 9_000_000_000_000_000;

/**
 * Returns all findings that depend on the contract alone, each with its JSON
 * pointer.
 *
 * @param contract Contract that is valid by the schema.
 */
export function checkContract(contract: Contract): Finding[] {
  return [
    ...duplicateFindings(
      contract.workspaces.map(({name}) => name),
      index => `/workspaces/${index}/name`,
      'workspace name',
    ),
    ...duplicateFindings(
      contract.workspaces.map(({keyHash}) => keyHash),
      index => `/workspaces/${index}/keyHash`,
      'key',
    ),
    ...duplicateFindings(
      contract.models.map(({name}) => name),
      index => `/models/${index}/name`,
      'model name',
    ),
    ...duplicateFindings(
      contract.services.map(({name}) => name),
      index => `/services/${index}/name`,
      'service name',
    ),
    ...shareFindings(contract),
    ...adapterFindings(contract),
  ];
}

function duplicateFindings(
  values: string[],
  toPath: (index: number) => string,
  label: string,
): Finding[] {
  const firstIndexes = new Map<string, number>();
  return values.flatMap((value, index) => {
    const earlier = firstIndexes.get(value);
    if (earlier === undefined) {
      firstIndexes.set(value, index);
      return [];
    }
    const message = `${label} '${value}' is already used at ${toPath(earlier)}`;
    return [{path: toPath(index), message}];
  });
}

function shareFindings(contract: Contract): Finding[] {
  return contract.workspaces.flatMap(({sharePercent}, index) => {
    const valid =
      Number.isInteger(sharePercent) &&
      sharePercent >= 0 &&
      sharePercent <= 100;
    if (valid) return [];
    return [
      {
        path: `/workspaces/${index}/sharePercent`,
        message: 'must be a whole percentage from 0 to 100',
      },
    ];
  });
}

function adapterFindings(contract: Contract): Finding[] {
  return contract.models.flatMap((model, index) =>
    duplicateFindings(
      model.adapters,
      position => `/models/${index}/adapters/${position}`,
      'adapter',
    ),
  );
}
