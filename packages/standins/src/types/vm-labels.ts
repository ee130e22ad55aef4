import * as z from 'zod';

/** Labels that describe what runs on an endpoint VM. */
export const VmLabels = z
  .object({
    service: z.string().optional(),
    version: z.string().optional(),
    kind: z.string().optional(),
  })
  .readonly();
export type VmLabels = z.infer<typeof VmLabels>;
