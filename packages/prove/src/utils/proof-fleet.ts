import type { FleetOptions, FleetRunners } from '@ragwortrudder/standins';
import { TENANTS } from './tenants.ts';

const FAST_MEMBERSHIP = { probePeriodMs: 300, probeTimeoutMs: 200, suspicionMs: 1200 };

const QUOTES: FleetRunners = { service: 'quotes', version: 'v1', kind: 'model', count: 3 };
const STOCK: FleetRunners = { service: 'stock', version: 'v1', kind: 'application', count: 3 };
const ORDERS: FleetRunners = { service: 'orders', version: 'v1', kind: 'application', count: 3 };

/** Returns the deployment of a proof: three failure domains, three services and short membership timers. */
export function proofFleet(changes: Partial<FleetOptions> = {}): FleetOptions {
  const { settings = {}, ...rest } = changes;
  return {
    tenants: TENANTS.map((tenant) => ({ tenant, key: `key-of-${tenant}-0123456789` })),
    runners: [QUOTES, STOCK, ORDERS],
    ...rest,
    settings: { membership: FAST_MEMBERSHIP, ...settings },
  };
}
