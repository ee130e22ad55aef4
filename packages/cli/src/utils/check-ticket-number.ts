import { UsageInvalid } from '../errors/usage-invalid.ts';

/**
 * Checks a ticket number of the command line.
 * @throws {@link UsageInvalid}
 */
export function checkTicketNumber(value: number): number {
  if (Number.isSafeInteger(value) && value > 0) return value;
  throw new UsageInvalid('the number of a ticket is a whole number from 1');
}
