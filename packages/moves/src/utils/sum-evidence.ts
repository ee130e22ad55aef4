import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import { cellKey } from './cell-key.ts';

function add(a: EvidenceCell, b: EvidenceCell): EvidenceCell {
  const length = Math.max(a.latencyBuckets.length, b.latencyBuckets.length);
  return {
    ...a,
    tries: a.tries + b.tries,
    failures: a.failures + b.failures,
    excused: a.excused + b.excused,
    latencyRatioSum: a.latencyRatioSum + b.latencyRatioSum,
    latencyBuckets: Array.from(
      { length },
      (_, index) => (a.latencyBuckets[index] ?? 0) + (b.latencyBuckets[index] ?? 0),
    ),
  };
}

/** Sums the evidence of several nodes; `entries` has one element per incarnation of a node. */
export function sumEvidence(entries: readonly Evidence[]): Evidence {
  const cells = new Map<string, EvidenceCell>();
  for (const cell of entries.flatMap((entry) => entry.cells)) {
    const key = cellKey(cell);
    const known = cells.get(key);
    cells.set(key, known ? add(known, cell) : cell);
  }
  return { cells: [...cells.values()] };
}
