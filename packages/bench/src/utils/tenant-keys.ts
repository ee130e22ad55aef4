/** Returns a deterministic API key for each tenant. */
export function tenantKeys(tenants: readonly string[]): ReadonlyMap<string, string> {
  return new Map(tenants.map((tenant) => [tenant, `${tenant}-bench-key-0123456789`]));
}
