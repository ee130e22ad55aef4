import { firstTicket } from './deployment.ts';

interface TicketOptions {
  readonly services: readonly string[];
  readonly tenants: readonly string[];
}

/** Returns the first ticket of a deployment whose tenants have equal weights. */
export function equalShareTicket({ services, tenants }: TicketOptions): unknown {
  const equalTenants = tenants.map((tenant) => ({ tenant, key: '', weight: 1 }));
  return firstTicket({ tenants: equalTenants }, services);
}
