import * as z from 'zod';
import { Notice } from './notice.ts';

/** Notices after a sequence number. */
export const NoticePage = z
  .object({
    notices: z.array(Notice).readonly(),
    /** Number to pass as `after` in the next call. */
    next: z.int().nonnegative(),
  })
  .readonly();
export type NoticePage = z.infer<typeof NoticePage>;
