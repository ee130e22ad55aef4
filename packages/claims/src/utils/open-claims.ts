import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { findClaim } from './find-claim.ts';

/** Returns the claims of all owners that have no outcome yet. */
export function openClaims(state: ClaimState): readonly ClaimRecord[] {
  return Object.values(state.shards)
    .flatMap((shard) => Object.values(shard))
    .flatMap((bucket) => bucket)
    .filter(({ phase }) => phase === 'claimed' || phase === 'sending')
    .filter(({ tenant, key }) => findClaim(state, tenant, key) !== undefined);
}
