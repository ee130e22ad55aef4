import type { Scenario } from '../types/scenario.ts';

const MODEL_SERVICES: readonly string[] = ['quotes', 'reconciliation'];
const NON_IDEMPOTENT_SERVICES: readonly string[] = ['orders', 'filing'];
const MAX_CONCURRENT = 1000;

/**
 * Returns the first ticket of a deployment, which defines its services and the weights of its
 * tenants.
 */
export function firstTicket(
  scenario: Pick<Scenario, 'tenants'>,
  services: readonly string[],
): unknown {
  return {
    number: 1,
    against: 0,
    services: Object.fromEntries(services.map((name) => [name, serviceEntry(name)])),
    tenants: Object.fromEntries(
      scenario.tenants.map(({ tenant, weight }) => [
        tenant,
        { weight, maxConcurrent: MAX_CONCURRENT, maxQueued: MAX_CONCURRENT },
      ]),
    ),
  };
}

function serviceEntry(name: string): unknown {
  return {
    kind: MODEL_SERVICES.includes(name) ? 'model' : 'application',
    version: 'v1',
    fencing: true,
    idempotent: !NON_IDEMPOTENT_SERVICES.includes(name),
    classes: ['interactive', 'batch'],
  };
}
