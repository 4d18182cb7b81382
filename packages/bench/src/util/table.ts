/** @fileoverview Prints rows of results as a Markdown table. */

export type Cell = string | number;

/** One line of a table: values by column name. */
export type Row = Record<string, Cell>;

/** The columns are those of the first row, in its order. */
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
