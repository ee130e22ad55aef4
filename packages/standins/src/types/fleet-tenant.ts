/** Tenant of a fleet with the key under which it calls. */
export interface FleetTenant {
  readonly tenant: string;
  readonly key: string;
}
