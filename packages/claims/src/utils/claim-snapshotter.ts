import { InvalidInput } from '@ragwortrudder/core';
import type { Snapshotter } from '@ragwortrudder/log';
import { ClaimState } from '../types/claim-state.ts';

/** Snapshots of the fold of the claims: the state is JSON data already. */
export const claimSnapshotter: Snapshotter<ClaimState> = {
  serialize: (state) => state,
  restore: (data) => {
    const parsed = ClaimState.safeParse(data);
    if (parsed.success) return parsed.data;
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    throw new InvalidInput('snapshot of the claims is not valid', problems);
  },
};
