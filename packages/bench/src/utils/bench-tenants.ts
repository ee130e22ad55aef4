/**
 * Benchmark tenants with their relative shares of the arrivals: two large ones and three small
 * ones.
 */
export const benchTenants: Readonly<Record<string, number>> = {
  hospitals: 5,
  schools: 3,
  depots: 1,
  clerks: 1,
  statisticians: 1,
};
