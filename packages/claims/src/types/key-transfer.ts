import * as z from 'zod';
import { Owner } from './owner.ts';

/** Message that transfers a key to another executor; receiving it is idempotent. */
export const KeyTransfer = z.strictObject({
  tenant: z.string().min(1),
  key: z.string().min(1),
  requestDigest: z.string().min(1).optional(),
  from: Owner,
  to: Owner,
  /** Wall-clock expiry of the message, in milliseconds since the epoch. */
  validUntil: z.number(),
});
export type KeyTransfer = Readonly<z.infer<typeof KeyTransfer>>;
