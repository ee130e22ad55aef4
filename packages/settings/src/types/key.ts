import * as z from 'zod';

/** Secret with which a caller or peer authenticates. */
export const Key = z.string().regex(/^\S{16,256}$/);
export type Key = z.infer<typeof Key>;
