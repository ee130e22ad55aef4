import type { Vm } from '@ragwortrudder/platform';
import type { VmPrice } from '@ragwortrudder/supply';
import type { Service } from '@ragwortrudder/tickets';

/** Input from which a supply job plans. */
export interface SupplyView {
  readonly name: string;
  readonly service: Service;
  /**
   * Versions that need capacity: the one that serves and, during a rollout, the new one; the
   * desired one last.
   */
  readonly versions: readonly string[];
  /** VMs of the service in the platform's list, which lags behind the actual state. */
  readonly vms: readonly Vm[];
  readonly prices: readonly VmPrice[];
}
