import { InvalidInput } from '@ragwortrudder/core';
import type { Snapshotter } from '@ragwortrudder/log';
import { LeaseState } from '../types/lease-state.ts';

/** Snapshotter of the lease state, which is plain JSON already. */
export const leaseSnapshotter: Snapshotter<LeaseState> = {
  serialize: (state) => state,
  restore: (data) => {
    const parsed = LeaseState.safeParse(data);
    if (parsed.success) return parsed.data;
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    throw new InvalidInput('lease snapshot does not match the schema of the lease state', problems);
  },
};
