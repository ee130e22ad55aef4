import * as z from 'zod';
import { ExecutionOutcome } from './execution-outcome.ts';
import { Owner } from './owner.ts';

const subject = { tenant: z.string().min(1), key: z.string().min(1) };
const author = { node: z.string().min(1), incarnation: z.number().int().nonnegative() };
/** An attempt is identified by the position of the claim that opened it. */
const attempt = z.number().int().nonnegative();

/** Body of a log entry in the stream `claims`. */
export const ClaimEntry = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('claim'),
    ...subject,
    ...author,
    requestDigest: z.string().min(1),
    service: z.string().min(1),
    /** Expiry in milliseconds since the epoch; a claim that the log appends later has no effect. */
    validUntil: z.number().optional(),
  }),
  z.strictObject({ type: z.literal('sending'), ...subject, ...author, attempt }),
  z.strictObject({
    type: z.literal('outcome'),
    ...subject,
    ...author,
    attempt,
    word: ExecutionOutcome,
    result: z.unknown().optional(),
  }),
  z.strictObject({ type: z.literal('takeover'), ...subject, attempt, from: Owner, to: Owner }),
  z.strictObject({ type: z.literal('abandon'), ...subject, ...author, attempt }),
]);
export type ClaimEntry = Readonly<z.infer<typeof ClaimEntry>>;
