import * as z from 'zod';

/** Name of a service, tenant or failure domain. */
export const ObjectName = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'lower-case letters, digits, dot, dash, underscore; at most 63',
  )
  .refine((name) => !(name in Object.prototype), 'this name is reserved');
export type ObjectName = z.infer<typeof ObjectName>;
