/** Tenant of a fleet with the key that authenticates its calls. */
export interface FleetTenant {
  readonly tenant: string;
  readonly key: string;
}
