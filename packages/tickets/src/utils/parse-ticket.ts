import { InvalidInput } from '@ragwortrudder/core';
import { Ticket } from '../types/ticket.ts';

/** Checks a ticket; throws `InvalidInput` with every problem and its path. */
export function parseTicket(input: unknown): Ticket {
  const parsed = Ticket.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) =>
    path.length > 0 ? `${path.join('.')}: ${message}` : message,
  );
  throw new InvalidInput('the ticket is not valid', problems);
}
