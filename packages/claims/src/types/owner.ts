import * as z from 'zod';

/** Incarnation of a node that owns a claim or an issued key. */
export const Owner = z.strictObject({
  node: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
});
export type Owner = Readonly<z.infer<typeof Owner>>;
