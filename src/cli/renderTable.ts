/** Value of a table cell. Absent and empty values are shown as a dash. */
export type Cell = string | number | boolean | undefined;

const COLUMN_SEPARATOR = '  ';

function formatCell(cell: Cell): string {
  if (cell === undefined || cell === '') return '-';
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no';
  return String(cell);
}

/**
 * Renders rows as a table with aligned columns. Numeric columns are right-aligned.
 *
 * @example
 * ```ts
 * renderTable([{ pool: 'match', hosts: 8 }]); // 'POOL   HOSTS\nmatch      8\n'
 * ```
 */
export function renderTable(rows: readonly Record<string, Cell>[]): string {
  const names = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  if (names.length === 0) return '(none)\n';
  const columns = names.map((name) => {
    const title = name.replace(/([a-z])([A-Z])/g, '$1 $2').toUpperCase();
    const cells = rows.map((row) => formatCell(row[name]));
    const width = Math.max(title.length, ...cells.map((cell) => cell.length));
    const isNumeric = rows.every((row) => ['number', 'undefined'].includes(typeof row[name]));
    const pad = (text: string): string => (isNumeric ? text.padStart(width) : text.padEnd(width));
    return [title, ...cells].map(pad);
  });
  const lines = [-1, ...rows.keys()].map((row) =>
    columns
      .map((column) => column[row + 1])
      .join(COLUMN_SEPARATOR)
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
