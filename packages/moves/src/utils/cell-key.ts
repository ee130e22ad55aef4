import type { EvidenceCell } from '../types/evidence-cell.ts';

/** Identity of a cell within evidence. */
export function cellKey(cell: Omit<EvidenceCell, 'tries' | 'failures' | 'excused'>): string {
  return JSON.stringify([cell.service, cell.version, cell.route, cell.loadBand]);
}
