import * as z from 'zod';
import { ObjectName } from './object-name.ts';

/** Body of a log entry with the decision that ends a move. */
export const MoveDecisionEntry = z
  .strictObject({
    kind: z.literal('move-word'),
    ticket: z.int().positive(),
    service: ObjectName,
    word: z.enum(['done', 'undone']),
    reason: z.string().max(1024),
    /** Node that wrote the entry. */
    by: z.string().max(128),
  })
  .readonly();
export type MoveDecisionEntry = z.infer<typeof MoveDecisionEntry>;
