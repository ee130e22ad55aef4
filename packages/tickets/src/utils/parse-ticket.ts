import { InvalidInput } from '@ragwortrudder/core';
import * as z from 'zod';
import { Ticket } from '../types/ticket.ts';
import { BASE_PROBLEM } from './base-problem.ts';
import { isNumberAboveBase } from './is-number-above-base.ts';

const Numbers = z.object({ number: z.number(), against: z.number() });

function formatIssue({ path, message }: z.core.$ZodIssue): string {
  return path.length > 0 ? `${path.join('.')}: ${message}` : message;
}

/**
 * Compares the ticket numbers even when other checks fail; the schema's own refinement runs only if
 * all others pass.
 */
function baseProblems(input: unknown): readonly string[] {
  const numbers = Numbers.safeParse(input);
  if (!numbers.success || isNumberAboveBase(numbers.data)) return [];
  return [`against: ${BASE_PROBLEM}`];
}

/** Validates a ticket; throws `InvalidInput` that lists every problem with its path. */
export function parseTicket(input: unknown): Ticket {
  const parsed = Ticket.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = new Set([...parsed.error.issues.map(formatIssue), ...baseProblems(input)]);
  throw new InvalidInput('the ticket is not valid', [...problems]);
}
