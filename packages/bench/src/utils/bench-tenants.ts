/** Tenants of the bench with their shares of the arrivals: a few large, the others small. */
export const benchTenants: Readonly<Record<string, number>> = {
  hospitals: 5,
  schools: 3,
  depots: 1,
  clerks: 1,
  statisticians: 1,
};
