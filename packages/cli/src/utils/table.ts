const GAP = '  ';

/** Formats rows under their headings; the cells of a column are padded to the same width. */
export function table(headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(GAP)
      .trimEnd();
  return [headings, ...rows].map((row) => `${formatRow(row)}\n`).join('');
}
