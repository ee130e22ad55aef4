import * as z from 'zod';

/** Name of a node, failure domain, region, operator or tenant. */
export const Name = z.string().regex(/^[\w-]{1,64}$/);
export type Name = z.infer<typeof Name>;
