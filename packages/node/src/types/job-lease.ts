import type { LeaseHolder } from '@ragwortrudder/leases';

/** Hold on a job as those see it who act under it. */
export type JobLease = Pick<LeaseHolder, 'fence' | 'mayAct' | 'mayActUnfenced'>;
