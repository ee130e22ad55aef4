import * as z from 'zod';

const Refusal = z
  .object({
    reason: z.string(),
    lostTo: z.number().nullable(),
    objects: z.array(z.string()).readonly(),
  })
  .readonly();

const Move = z
  .object({
    service: z.string(),
    ticket: z.number(),
    from: z.string(),
    to: z.string(),
    startedAt: z.number(),
    takeoverBy: z.number().nullable(),
    /** Final word; null while the move is open. */
    word: z
      .object({ word: z.enum(['done', 'undone']), reason: z.string() })
      .readonly()
      .nullable(),
  })
  .readonly();

/** What has become of a ticket, as a node tells it. */
export const TicketReport = z
  .object({
    number: z.number(),
    status: z.enum(['accepted', 'superseded', 'refused', 'unknown']),
    refusal: Refusal.nullable(),
    /** For each failure domain, whether all its nodes have applied the ticket. */
    inForce: z.record(z.string(), z.boolean()).readonly(),
    moves: z.array(Move).readonly(),
    /** Operator who submitted it; in lists only. */
    author: z.string().optional(),
    /** Log time in milliseconds since the Unix epoch; in lists only. */
    at: z.number().optional(),
  })
  .readonly();
export type TicketReport = z.infer<typeof TicketReport>;
