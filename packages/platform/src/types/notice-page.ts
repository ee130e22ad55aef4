import * as z from 'zod';
import { Notice } from './notice.ts';

/** Reclaim notices after a given sequence number. */
export const NoticePage = z
  .object({
    notices: z.array(Notice).readonly(),
    /** Sequence number to pass as `after` in the next call. */
    next: z.int().nonnegative(),
  })
  .readonly();
export type NoticePage = z.infer<typeof NoticePage>;
