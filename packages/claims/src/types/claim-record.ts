import * as z from 'zod';
import { ExecutionOutcome } from './execution-outcome.ts';
import { Owner } from './owner.ts';

/** State of one key of one tenant, as recorded in the log. */
export const ClaimRecord = z.strictObject({
  tenant: z.string(),
  key: z.string(),
  service: z.string(),
  requestDigest: z.string(),
  /** Position of the claim that opened the current attempt. */
  attempt: z.number(),
  /** The only incarnation that may send this attempt. */
  owner: Owner.readonly(),
  /** `claimed` until the effective `sending` entry, then `sending`, then the outcome. */
  phase: z.union([z.enum(['claimed', 'sending']), ExecutionOutcome]),
  result: z.unknown().optional(),
  /** Log time of the last effective entry, in milliseconds since the epoch. */
  changedAtMs: z.number(),
});
export type ClaimRecord = Readonly<z.infer<typeof ClaimRecord>>;
