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
      .describe('Name of the VM at the platform; the name of the node when left out.'),
    failureDomain: Name.describe('Failure domain of the VM.'),
    region: Name.default('default').describe('Region of the failure domain.'),
  })
  .readonly();
export type NodeIdentity = z.infer<typeof NodeIdentity>;
