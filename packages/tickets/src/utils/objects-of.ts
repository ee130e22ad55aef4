import type { Ticket } from '../types/ticket.ts';

/**
 * Returns the names of all objects that a ticket replaces or removes, for example
 * `services.quotes`.
 */
export function objectsOf({ services, tenants, domains }: Ticket): readonly string[] {
  return [
    ...Object.keys(services).map((name) => `services.${name}`),
    ...Object.keys(tenants).map((name) => `tenants.${name}`),
    ...(domains ? ['domains'] : []),
  ];
}
