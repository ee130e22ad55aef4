import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { claimSlot } from './claim-slot.ts';

/** Returns the record of a key, or undefined if there is none or it has expired. */
export function findClaim(state: ClaimState, tenant: string, key: string): ClaimRecord | undefined {
  const { shard, bucket } = claimSlot(tenant, key);
  const records = state.shards[shard]?.[bucket];
  const record = records?.find((item) => item.key === key && item.tenant === tenant);
  if (!record) return undefined;
  const isExpired = record.changedAtMs + state.retentionMs < state.logTimeMs;
  return isExpired ? undefined : record;
}
