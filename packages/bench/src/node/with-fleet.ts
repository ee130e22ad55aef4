import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions } from '@ragwortrudder/standins';
import { ticketOf } from '../utils/ticket-of.ts';

const DIRECTORY_LAG_MS = 2500;

/** Starts a fleet with its first ticket in force, hands it to `use` and closes it. */
export async function withFleet<T>(
  options: FleetOptions,
  use: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = new Fleet(options);
  try {
    await fleet.start();
    const tenants = fleet.layout.tenants.map(({ tenant }) => tenant);
    const services = [...new Set(fleet.runners.map(({ service }) => service))];
    await fleet.submitTicket(ticketOf({ services, tenants }));
    await sleep(DIRECTORY_LAG_MS);
    return await use(fleet);
  } finally {
    await fleet.close();
  }
}
