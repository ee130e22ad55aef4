import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { findClaim } from './find-claim.ts';

/** Claims without an outcome, of all owners. */
export function openClaims(state: ClaimState): readonly ClaimRecord[] {
  return Object.values(state.shards)
    .flatMap((shard) => Object.values(shard))
    .flatMap((bucket) => bucket)
    .filter(({ phase }) => phase === 'claimed' || phase === 'sending')
    .filter(({ tenant, key }) => findClaim(state, tenant, key) !== undefined);
}
