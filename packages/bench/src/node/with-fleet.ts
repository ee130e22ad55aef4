import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions } from '@ragwortrudder/standins';
import { equalShareTicket } from '../utils/equal-share-ticket.ts';

const DIRECTORY_LAG_MS = 2500;

/**
 * Starts a fleet, submits its first ticket, waits for it to take effect, calls `callback` and
 * closes the fleet.
 */
export async function withFleet<T>(
  options: FleetOptions,
  callback: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const fleet = new Fleet(options);
  try {
    await fleet.start();
    const tenants = fleet.layout.tenants.map(({ tenant }) => tenant);
    const services = [...new Set(fleet.runners.map(({ service }) => service))];
    await fleet.submitTicket(equalShareTicket({ services, tenants }));
    await sleep(DIRECTORY_LAG_MS);
    return await callback(fleet);
  } finally {
    await fleet.close();
  }
}
