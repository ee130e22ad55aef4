import { firstTicket } from './deployment.ts';

interface TicketOptions {
  readonly services: readonly string[];
  readonly tenants: readonly string[];
}

/** First ticket of a deployment whose tenants have equal shares. */
export function ticketOf({ services, tenants }: TicketOptions): unknown {
  const weighted = tenants.map((tenant) => ({ tenant, key: '', weight: 1 }));
  return firstTicket({ tenants: weighted }, services);
}
