import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { claimPlace } from './claim-place.ts';

/** Returns the record of a key, or undefined when none is remembered. */
export function findClaim(state: ClaimState, tenant: string, key: string): ClaimRecord | undefined {
  const { shard, bucket } = claimPlace(tenant, key);
  const records = state.shards[shard]?.[bucket];
  const record = records?.find((one) => one.key === key && one.tenant === tenant);
  if (!record) return undefined;
  const isExpired = record.changedAtMs + state.retentionMs < state.logTimeMs;
  return isExpired ? undefined : record;
}
