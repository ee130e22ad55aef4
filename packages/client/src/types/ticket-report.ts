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
    /** Final outcome; null while the move is open. */
    word: z
      .object({ word: z.enum(['done', 'undone']), reason: z.string() })
      .readonly()
      .nullable(),
  })
  .readonly();

/** Status of a ticket, as a node reports it. */
export const TicketReport = z
  .object({
    number: z.number(),
    status: z.enum(['accepted', 'superseded', 'refused', 'unknown']),
    refusal: Refusal.nullable(),
    /** Whether all nodes of each failure domain have applied the ticket. */
    inForce: z.record(z.string(), z.boolean()).readonly(),
    moves: z.array(Move).readonly(),
    /** Operator who submitted the ticket; present only in lists. */
    author: z.string().optional(),
    /** Log time in milliseconds since the Unix epoch; present only in lists. */
    at: z.number().optional(),
  })
  .readonly();
export type TicketReport = z.infer<typeof TicketReport>;
