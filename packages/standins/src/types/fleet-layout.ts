import type { FleetTenant } from './fleet-tenant.ts';
import type { PlatformOptions } from './platform-options.ts';
import type { PlannedRunner } from './planned-runner.ts';

/** Composition of a fleet, derived from its options. */
export interface FleetLayout {
  readonly seed: number;
  readonly failureDomains: readonly string[];
  readonly entries: readonly { readonly name: string; readonly failureDomain: string }[];
  readonly runners: readonly PlannedRunner[];
  readonly tenants: readonly FleetTenant[];
  readonly platform: PlatformOptions;
}
