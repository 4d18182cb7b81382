/** @fileoverview Renders CSV (RFC 4180). */
import {type Column} from './table.js';

/** Renders rows as CSV with a header line. */
export function renderCsv<T>(
  columns: ReadonlyArray<Column<T>>,
  rows: readonly T[],
): string {
  const lines = [
    columns.map(column => column.heading),
    ...rows.map(row => columns.map(column => String(column.cell(row)))),
  ];
  return lines.map(cells => cells.map(quote).join(',')).join('\r\n');
}

function quote(cell: string): string {
  return /[",\r\n]/.test(cell) ? `"${cell.replaceAll('"', '""')}"` : cell;
}
