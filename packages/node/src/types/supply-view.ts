import type { Vm } from '@ragwortrudder/platform';
import type { VmPrice } from '@ragwortrudder/supply';
import type { Service } from '@ragwortrudder/tickets';

/** What a supply job knows when it plans. */
export interface SupplyView {
  readonly name: string;
  readonly service: Service;
  /** Versions that need capacity: the serving one, and the one that takes over; the wanted one last. */
  readonly versions: readonly string[];
  /** VMs of the service in the platform's lagging list. */
  readonly vms: readonly Vm[];
  readonly prices: readonly VmPrice[];
}
