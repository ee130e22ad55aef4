import * as z from 'zod';
import { TicketReport } from './ticket-report.ts';

/** The newest tickets, newest first. */
export const TicketList = z.object({ tickets: z.array(TicketReport).readonly() }).readonly();
export type TicketList = z.infer<typeof TicketList>;
