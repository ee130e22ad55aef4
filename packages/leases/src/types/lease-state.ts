import type { LeaseRecord } from './lease-record.ts';

/** Fold of the stream `leases`; plain JSON, so that it can be kept in snapshots. */
export interface LeaseState {
  /** Latest entry time seen, in milliseconds since the epoch. */
  readonly logTimeMs: number;
  readonly jobs: Readonly<Record<string, LeaseRecord>>;
}
