import * as z from 'zod';
import { Name } from './name.ts';

/** Identity and location of a node. */
export const NodeIdentity = z
  .strictObject({
    id: Name.describe('Unique name of this node.'),
    vmId: z
      .string()
      .min(1)
      .optional()
      .describe('Name of the VM on the platform; defaults to the name of the node.'),
    failureDomain: Name.describe('Failure domain in which the VM runs.'),
    region: Name.default('default').describe('Region that contains the failure domain.'),
  })
  .readonly();
export type NodeIdentity = z.infer<typeof NodeIdentity>;
