import * as z from 'zod';

/** Name of a service, tenant or failure domain. */
export const ObjectName = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits, dots, dashes or underscores, and start with a letter or digit',
  )
  .refine((name) => !(name in Object.prototype), 'this name is reserved');
export type ObjectName = z.infer<typeof ObjectName>;
