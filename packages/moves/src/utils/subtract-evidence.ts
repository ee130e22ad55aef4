import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import { cellKey } from './cell-key.ts';

function minus(a: number, b: number): number {
  return Math.max(0, a - b);
}

function subtract(a: EvidenceCell, b: EvidenceCell): EvidenceCell {
  return {
    ...a,
    tries: minus(a.tries, b.tries),
    failures: minus(a.failures, b.failures),
    excused: minus(a.excused, b.excused),
    latencyRatioSum: minus(a.latencyRatioSum, b.latencyRatioSum),
    latencyBuckets: a.latencyBuckets.map((count, index) =>
      minus(count, b.latencyBuckets[index] ?? 0),
    ),
  };
}

/** What `later` counted beyond `earlier`; counters of a node that was lost in between count as zero. */
export function subtractEvidence(later: Evidence, earlier: Evidence): Evidence {
  const before = new Map(earlier.cells.map((cell) => [cellKey(cell), cell]));
  const cells = later.cells.map((cell) => {
    const known = before.get(cellKey(cell));
    return known ? subtract(cell, known) : cell;
  });
  return { cells };
}
