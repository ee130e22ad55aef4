import { InvalidInput } from '@ragwortrudder/core';
import type { Snapshotter } from '@ragwortrudder/log';
import { LeaseState } from '../types/lease-state.ts';

/** Snapshots of the fold of the leases: the state is JSON data already. */
export const leaseSnapshotter: Snapshotter<LeaseState> = {
  serialize: (state) => state,
  restore: (data) => {
    const parsed = LeaseState.safeParse(data);
    if (parsed.success) return parsed.data;
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    throw new InvalidInput('snapshot of the leases is not valid', problems);
  },
};
