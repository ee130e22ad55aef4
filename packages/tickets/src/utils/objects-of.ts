import type { Ticket } from '../types/ticket.ts';

/** Names of all objects that a ticket replaces, for example `services.quotes`. */
export function objectsOf({ services, tenants, domains }: Ticket): readonly string[] {
  return [
    ...Object.keys(services).map((name) => `services.${name}`),
    ...Object.keys(tenants).map((name) => `tenants.${name}`),
    ...(domains ? ['domains'] : []),
  ];
}
