import type { Evidence } from '../types/evidence.ts';
import type { EvidenceCell } from '../types/evidence-cell.ts';
import type { Outcome } from '../types/outcome.ts';
import { cellKey } from './cell-key.ts';
import { LATENCY_RATIO_BOUNDS } from './latency-ratio-bounds.ts';
import { loadBand } from './load-band.ts';

function emptyCell(outcome: Outcome): EvidenceCell {
  return {
    service: outcome.service,
    version: outcome.version,
    route: outcome.route,
    loadBand: loadBand(outcome.load),
    tries: 0,
    failures: 0,
    excused: 0,
    latencyRatioSum: 0,
    latencyBuckets: Array.from({ length: LATENCY_RATIO_BOUNDS.length + 1 }, () => 0),
  };
}

function bucketOf(ratio: number): number {
  const index = LATENCY_RATIO_BOUNDS.findIndex((bound) => ratio <= bound);
  return index === -1 ? LATENCY_RATIO_BOUNDS.length : index;
}

function addOutcome(cell: EvidenceCell, outcome: Outcome): EvidenceCell {
  if (outcome.kind === 'excused') return { ...cell, excused: cell.excused + 1 };
  const tries = cell.tries + 1;
  if (outcome.kind === 'failure') return { ...cell, tries, failures: cell.failures + 1 };
  if (outcome.latencyRatio === undefined) return { ...cell, tries };
  const bucket = bucketOf(outcome.latencyRatio);
  return {
    ...cell,
    tries,
    latencyRatioSum: cell.latencyRatioSum + outcome.latencyRatio,
    latencyBuckets: cell.latencyBuckets.map((value, index) => value + (index === bucket ? 1 : 0)),
  };
}

/** Counts the request outcomes observed by one node. */
export class EvidenceRecorder {
  readonly #cells = new Map<string, EvidenceCell>();

  record(outcome: Outcome): void {
    const empty = emptyCell(outcome);
    const key = cellKey(empty);
    this.#cells.set(key, addOutcome(this.#cells.get(key) ?? empty, outcome));
  }

  /** Returns the evidence of the given services. */
  evidenceOf(services: ReadonlySet<string>): Evidence {
    return { cells: [...this.#cells.values()].filter(({ service }) => services.has(service)) };
  }

  /** Removes the cells of a version that no longer takes part in a move. */
  forget(service: string, version: string): void {
    for (const [key, cell] of this.#cells) {
      if (cell.service === service && cell.version === version) this.#cells.delete(key);
    }
  }
}
