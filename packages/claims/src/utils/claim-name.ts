/** Name of the record of a key of a tenant. */
export function claimName(tenant: string, key: string): string {
  return JSON.stringify([tenant, key]);
}
