/** @fileoverview Checks of a contract that its schema can't express. */
import {type Contract, type Finding} from '@dogwoodtrestle/schema';

/** Largest sum of prepaid amount and top-ups, in micros. */
export const maxBudgetMicros = 9_000_000_000_000_000;

/**
 * Returns every finding of a contract on its own, with its place.
 *
 * @param contract A contract that fits the schema.
 */
export function checkContract(contract: Contract): Finding[] {
  return [
    ...duplicates(
      contract.workspaces.map(({name}) => name),
      index => `/workspaces/${index}/name`,
      'workspace name',
    ),
    ...duplicates(
      contract.workspaces.map(({keyHash}) => keyHash),
      index => `/workspaces/${index}/keyHash`,
      'key',
    ),
    ...duplicates(
      contract.models.map(({name}) => name),
      index => `/models/${index}/name`,
      'model name',
    ),
    ...duplicates(
      contract.services.map(({name}) => name),
      index => `/services/${index}/name`,
      'service name',
    ),
    ...shareFindings(contract),
    ...adapterFindings(contract),
  ];
}

function duplicates(
  values: string[],
  pathOf: (index: number) => string,
  noun: string,
): Finding[] {
  const first = new Map<string, number>();
  return values.flatMap((value, index) => {
    const earlier = first.get(value);
    if (earlier === undefined) {
      first.set(value, index);
      return [];
    }
    const message = `${noun} '${value}' is already used at ${pathOf(earlier)}`;
    return [{path: pathOf(index), message}];
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
    duplicates(
      model.adapters,
      position => `/models/${index}/adapters/${position}`,
      'adapter',
    ),
  );
}
