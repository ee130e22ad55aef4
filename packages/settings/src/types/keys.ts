import * as z from 'zod';
import { Name } from './name.ts';
import { Key } from './key.ts';

/** Keys that identify peers, operators and tenants. */
export const Keys = z
  .strictObject({
    peer: Key.describe('Key with which nodes authenticate to each other; the same on all nodes.'),
    operators: z
      .array(
        z
          .strictObject({
            name: Name.describe(
              'Name of an operator, recorded as the author of the tickets sent with this key.',
            ),
            key: Key.describe('Key of this operator.'),
          })
          .readonly(),
      )
      .readonly()
      .describe('Operators and their keys.'),
    tenants: z
      .array(
        z
          .strictObject({
            tenant: Name.describe('Name of a tenant, as used in tickets.'),
            key: Key.describe('Key of this tenant.'),
          })
          .readonly(),
      )
      .readonly()
      .describe('Tenants and their keys.'),
  })
  .readonly();
export type Keys = z.infer<typeof Keys>;
