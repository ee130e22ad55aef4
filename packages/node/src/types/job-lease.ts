import type { LeaseHolder } from '@ragwortrudder/leases';

/** Read-only view of a job's lease for code that acts under it. */
export type JobLease = Pick<LeaseHolder, 'fence' | 'mayAct' | 'mayActUnfenced'>;
