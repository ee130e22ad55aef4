import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import { cellKey } from './cell-key.ts';

function subtractCount(a: number, b: number): number {
  return Math.max(0, a - b);
}

function subtract(a: EvidenceCell, b: EvidenceCell): EvidenceCell {
  return {
    ...a,
    tries: subtractCount(a.tries, b.tries),
    failures: subtractCount(a.failures, b.failures),
    excused: subtractCount(a.excused, b.excused),
    latencyRatioSum: subtractCount(a.latencyRatioSum, b.latencyRatioSum),
    latencyBuckets: a.latencyBuckets.map((count, index) =>
      subtractCount(count, b.latencyBuckets[index] ?? 0),
    ),
  };
}

/** Returns the growth from `earlier` to `later`; counters that shrank because a node was lost count as zero. */
export function subtractEvidence(later: Evidence, earlier: Evidence): Evidence {
  const earlierCells = new Map(earlier.cells.map((cell) => [cellKey(cell), cell]));
  const cells = later.cells.map((cell) => {
    const known = earlierCells.get(cellKey(cell));
    return known ? subtract(cell, known) : cell;
  });
  return { cells };
}
