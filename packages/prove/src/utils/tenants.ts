/** Tenants of the proofs. */
export const TENANTS = ['novak', 'sfax'] as const;
