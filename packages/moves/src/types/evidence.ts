import * as z from 'zod';
import { EvidenceCell } from './evidence-cell.ts';

const MAX_CELLS = 4096;

/** What one node, or all nodes together, saw of versions; rides in the report of each node. */
export const Evidence = z
  .strictObject({ cells: z.array(EvidenceCell).max(MAX_CELLS).readonly() })
  .readonly();
export type Evidence = z.infer<typeof Evidence>;
