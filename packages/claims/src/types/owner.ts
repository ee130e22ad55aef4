import * as z from 'zod';

/** One life of one node, as named in claims and issued keys. */
export const Owner = z.strictObject({
  node: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
});
export type Owner = Readonly<z.infer<typeof Owner>>;
