import type { EvidenceCell } from '../types/evidence-cell.ts';

/** Key that identifies a cell within the evidence. */
export function cellKey(cell: Omit<EvidenceCell, 'tries' | 'failures' | 'excused'>): string {
  return JSON.stringify([cell.service, cell.version, cell.route, cell.loadBand]);
}
