import * as z from 'zod';
import { ReclaimNotice } from './reclaim-notice.ts';

/** Reclaim notices after a given sequence number. */
export const ReclaimNoticePage = z
  .object({
    notices: z.array(ReclaimNotice).readonly(),
    /** Sequence number to pass as `after` in the next call. */
    next: z.int().nonnegative(),
  })
  .readonly();
export type ReclaimNoticePage = z.infer<typeof ReclaimNoticePage>;
