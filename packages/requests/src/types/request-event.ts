import * as z from 'zod';
import { Outcome } from './outcome.ts';

const EventBody = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('accepted'), id: z.string() }).readonly(),
  z
    .strictObject({ type: z.literal('token'), index: z.number().int(), text: z.string() })
    .readonly(),
  z.strictObject({ type: z.literal('result'), result: z.unknown() }).readonly(),
  z.strictObject({ type: z.literal('done'), tokens: z.number().int() }).readonly(),
  z.strictObject({ type: z.literal('failed'), outcome: Outcome }).readonly(),
]);

/**
 * One event of a request's event stream. Numbers start at 1 without gaps; the epoch increases with
 * each new owner.
 */
export const RequestEvent = z
  .strictObject({
    epoch: z.number().int().min(1),
    number: z.number().int().min(1),
    body: EventBody,
  })
  .readonly();
export type RequestEvent = z.infer<typeof RequestEvent>;
