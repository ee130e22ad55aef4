import { InvalidInput } from '@ragwortrudder/core';
import * as z from 'zod';
import { Ticket } from '../types/ticket.ts';
import { BASE_PROBLEM } from './base-problem.ts';
import { isNumberAboveBase } from './is-number-above-base.ts';

const Numbers = z.object({ number: z.number(), against: z.number() });

function problemOf({ path, message }: z.core.$ZodIssue): string {
  return path.length > 0 ? `${path.join('.')}: ${message}` : message;
}

/** The schema compares the numbers only when nothing else is wrong; this does so in any case. */
function numberProblems(input: unknown): readonly string[] {
  const numbers = Numbers.safeParse(input);
  if (!numbers.success || isNumberAboveBase(numbers.data)) return [];
  return [`against: ${BASE_PROBLEM}`];
}

/** Checks a ticket; throws `InvalidInput` with every problem and its path. */
export function parseTicket(input: unknown): Ticket {
  const parsed = Ticket.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = new Set([...parsed.error.issues.map(problemOf), ...numberProblems(input)]);
  throw new InvalidInput('the ticket is not valid', [...problems]);
}
