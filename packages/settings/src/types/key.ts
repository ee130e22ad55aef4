import * as z from 'zod';

/** Secret that a caller or peer shows. */
export const Key = z.string().regex(/^\S{16,256}$/);
export type Key = z.infer<typeof Key>;
