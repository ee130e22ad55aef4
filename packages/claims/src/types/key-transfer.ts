import * as z from 'zod';
import { Owner } from './owner.ts';

/** Message that gives a key to another executor; receiving it twice has the effect of once. */
export const KeyTransfer = z.strictObject({
  tenant: z.string().min(1),
  key: z.string().min(1),
  requestDigest: z.string().min(1).optional(),
  from: Owner,
  to: Owner,
  /** Wall-clock time after which the message is refused, in milliseconds since the epoch. */
  validUntil: z.number(),
});
export type KeyTransfer = Readonly<z.infer<typeof KeyTransfer>>;
