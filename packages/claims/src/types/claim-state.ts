import type { ClaimRecord } from './claim-record.ts';

/** Fold of the stream `claims`; plain JSON, so that it can be kept in snapshots. */
export interface ClaimState {
  /** Latest entry time seen, in milliseconds since the epoch. */
  readonly logTimeMs: number;
  readonly retentionMs: number;
  /** Records by hash bucket, then by record name; an update copies one bucket only. */
  readonly buckets: readonly Readonly<Record<string, ClaimRecord>>[];
}
