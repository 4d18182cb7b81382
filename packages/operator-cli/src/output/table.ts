/** @fileoverview Renders tables for a terminal. */
import CliTable from 'cli-table3';

/** A column of a table, and how to get its cell from a row. */
export interface Column<T> {
  heading: string;
  cell: (row: T) => string | number;
  align?: 'left' | 'right';
}

const borderChars = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Renders rows as a table without borders. */
export function renderTable<T>(
  columns: ReadonlyArray<Column<T>>,
  rows: readonly T[],
): string {
  if (rows.length === 0) return '(none)';
  const table = new CliTable({
    head: columns.map(column => column.heading),
    colAligns: columns.map(column => column.align ?? 'left'),
    chars: borderChars,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  for (const row of rows) {
    table.push(columns.map(column => String(column.cell(row))));
  }
  return table
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}
