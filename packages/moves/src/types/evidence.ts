import * as z from 'zod';
import { EvidenceCell } from './evidence-cell.ts';

const MAX_CELLS = 4096;

/** Outcome counters by version, of one node or summed over all nodes; part of the report that each node publishes. */
export const Evidence = z
  .strictObject({ cells: z.array(EvidenceCell).max(MAX_CELLS).readonly() })
  .readonly();
export type Evidence = z.infer<typeof Evidence>;
