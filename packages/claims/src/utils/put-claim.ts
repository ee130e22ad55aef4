import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { claimSlot } from './claim-slot.ts';

const WRITES_PER_SWEEP = 16;

type Shards = ClaimState['shards'];
type Bucket = Shards[string][string];

/** Checks only the first record: buckets are ordered by last change, because every write moves its record to the end. */
function hasExpired([oldest]: Bucket, oldestMs: number): boolean {
  return oldest !== undefined && oldest.changedAtMs < oldestMs;
}

function removeExpired(bucket: Bucket, oldestMs: number): Bucket {
  if (!hasExpired(bucket, oldestMs)) return bucket;
  return bucket.filter(({ changedAtMs }) => changedAtMs >= oldestMs);
}

/** Removes expired records from the next shard in rotation; reads ignore expired records in any case. */
function sweep(shards: Shards, writes: number, oldestMs: number): Shards {
  if (writes % WRITES_PER_SWEEP !== 0) return shards;
  const names = Object.keys(shards).toSorted();
  const name = names[(writes / WRITES_PER_SWEEP) % names.length];
  const shard = name === undefined ? undefined : shards[name];
  if (name === undefined || !shard) return shards;
  const entries = Object.entries(shard);
  if (!entries.some(([, bucket]) => hasExpired(bucket, oldestMs))) return shards;
  const buckets = entries
    .map(([bucketName, bucket]) => [bucketName, removeExpired(bucket, oldestMs)] as const)
    .filter(([, bucket]) => bucket.length > 0);
  return { ...shards, [name]: Object.fromEntries(buckets) };
}

/** Returns the state with a record added or replaced, and some expired records removed. */
export function putClaim(state: ClaimState, record: ClaimRecord): ClaimState {
  const { tenant, key } = record;
  const { shard: shardName, bucket: bucketName } = claimSlot(tenant, key);
  const shard = state.shards[shardName] ?? {};
  const others = (shard[bucketName] ?? []).filter(
    (item) => item.key !== key || item.tenant !== tenant,
  );
  const bucket = [...others, record];
  const shards = { ...state.shards, [shardName]: { ...shard, [bucketName]: bucket } };
  const writes = state.writes + 1;
  return { ...state, writes, shards: sweep(shards, writes, state.logTimeMs - state.retentionMs) };
}
