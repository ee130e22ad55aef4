import type { ClaimRecord } from '../types/claim-record.ts';
import type { ClaimState } from '../types/claim-state.ts';
import { claimPlace } from './claim-place.ts';

const WRITES_PER_SWEEP = 16;

type Shards = ClaimState['shards'];
type Bucket = Shards[string][string];

/** A bucket is ordered by the last change, as every write moves its record to the end. */
function hasExpired([oldest]: Bucket, oldestMs: number): boolean {
  return oldest !== undefined && oldest.changedAtMs < oldestMs;
}

function keepFresh(bucket: Bucket, oldestMs: number): Bucket {
  if (!hasExpired(bucket, oldestMs)) return bucket;
  return bucket.filter(({ changedAtMs }) => changedAtMs >= oldestMs);
}

/** Removes expired records from the shard whose turn it is; reads never see them in any case. */
function sweep(shards: Shards, writes: number, oldestMs: number): Shards {
  if (writes % WRITES_PER_SWEEP !== 0) return shards;
  const names = Object.keys(shards).toSorted();
  const name = names[(writes / WRITES_PER_SWEEP) % names.length];
  const shard = name === undefined ? undefined : shards[name];
  if (name === undefined || !shard) return shards;
  const places = Object.entries(shard);
  if (!places.some(([, bucket]) => hasExpired(bucket, oldestMs))) return shards;
  const buckets = places
    .map(([place, bucket]) => [place, keepFresh(bucket, oldestMs)] as const)
    .filter(([, bucket]) => bucket.length > 0);
  return { ...shards, [name]: Object.fromEntries(buckets) };
}

/** Returns the state with a record added or replaced, and some expired records removed. */
export function putClaim(state: ClaimState, record: ClaimRecord): ClaimState {
  const { tenant, key } = record;
  const { shard: shardName, bucket: bucketName } = claimPlace(tenant, key);
  const shard = state.shards[shardName] ?? {};
  const others = (shard[bucketName] ?? []).filter(
    (one) => one.key !== key || one.tenant !== tenant,
  );
  const bucket = [...others, record];
  const shards = { ...state.shards, [shardName]: { ...shard, [bucketName]: bucket } };
  const writes = state.writes + 1;
  return { ...state, writes, shards: sweep(shards, writes, state.logTimeMs - state.retentionMs) };
}
