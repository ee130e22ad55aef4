import type { Clock } from '@ragwortrudder/core';
import type { AppendLeaseEntry } from './append-lease-entry.ts';

/** Options of a lease holder. */
export interface LeaseHolderOptions {
  readonly job: string;
  /** Unique name of this incarnation of the node. */
  readonly holder: string;
  readonly clock: Clock;
  readonly write: AppendLeaseEntry;
  /**
   * Duration of the lease, in milliseconds.
   * @default 10_000
   */
  readonly durationMs?: number;
  /**
   * Safety margin before the end of the lease at which the holder stops acting, in milliseconds.
   * @default 2_000
   */
  readonly marginMs?: number;
  /**
   * Time before that stop at which the holder renews the lease, in milliseconds.
   * @default 4_000
   */
  readonly renewBeforeMs?: number;
  /**
   * Time after acquisition during which orders of the previous holder may still arrive at an engine
   * that ignores fencing tokens, in milliseconds.
   * @default 3_000
   */
  readonly settleMs?: number;
}
