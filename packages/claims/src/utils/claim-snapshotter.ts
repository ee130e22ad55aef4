import { InvalidInput } from '@ragwortrudder/core';
import type { Snapshotter } from '@ragwortrudder/log';
import { ClaimState } from '../types/claim-state.ts';

/** Snapshotter of the claim state, which is plain JSON already. */
export const claimSnapshotter: Snapshotter<ClaimState> = {
  serialize: (state) => state,
  restore: (data) => {
    const parsed = ClaimState.safeParse(data);
    if (parsed.success) return parsed.data;
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    throw new InvalidInput('claim snapshot does not match the schema of the claim state', problems);
  },
};
