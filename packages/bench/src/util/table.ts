/** @fileoverview Formats rows of results as a Markdown table. */

/** Value of one table cell. */
export type Cell = string | number;

/** One row of a table: values by column name. */
export type Row = Record<string, Cell>;

/** Formats rows as a table whose columns are those of the first row. */
export function formatTable(rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const lines = rows.map(row => columns.map(name => formatCell(row[name])));
  return [columns, columns.map(() => '---'), ...lines]
    .map(cells => `| ${cells.join(' | ')} |`)
    .join('\n');
}

function formatCell(cell: Cell | undefined): string {
  if (typeof cell !== 'number') return cell ?? '';
  if (Number.isInteger(cell)) return String(cell);
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toFixed(2);
}
