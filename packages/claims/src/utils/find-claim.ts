import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { bucketOf } from './bucket-of.ts';
import { claimName } from './claim-name.ts';

/** Returns the record of a key, or undefined when none is remembered. */
export function findClaim(state: ClaimState, tenant: string, key: string): ClaimRecord | undefined {
  const name = claimName(tenant, key);
  const record = state.buckets[bucketOf(name, state.buckets.length)]?.[name];
  if (!record) return undefined;
  const isExpired = record.changedAtMs + state.retentionMs < state.logTimeMs;
  return isExpired ? undefined : record;
}
