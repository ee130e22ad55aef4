import * as z from 'zod';
import { Ticket } from './ticket.ts';

/** Body of a log entry that publishes a ticket. */
export const TicketEntry = z.strictObject({ kind: z.literal('ticket'), ticket: Ticket }).readonly();
export type TicketEntry = z.infer<typeof TicketEntry>;
