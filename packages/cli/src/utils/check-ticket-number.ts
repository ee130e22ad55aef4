import { UsageInvalid } from '../errors/usage-invalid.ts';

/**
 * Validates a ticket number from the command line.
 * @throws {@link UsageInvalid}
 */
export function checkTicketNumber(value: number): number {
  if (Number.isSafeInteger(value) && value > 0) return value;
  throw new UsageInvalid('a ticket number must be an integer of at least 1');
}
