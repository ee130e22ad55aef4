import type { Clock } from '@ragwortrudder/core';
import type { LeaseWrite } from './lease-write.ts';

/** Options of a lease holder. */
export interface LeaseHolderOptions {
  readonly job: string;
  /** Unique name of this life of this node. */
  readonly holder: string;
  readonly clock: Clock;
  readonly write: LeaseWrite;
  /**
   * Length of the lease, in milliseconds.
   * @default 10_000
   */
  readonly durationMs?: number;
  /**
   * Time before the end at which the holder stops acting, in milliseconds.
   * @default 2_000
   */
  readonly marginMs?: number;
  /**
   * Time before the stop at which the holder renews, in milliseconds.
   * @default 4_000
   */
  readonly renewBeforeMs?: number;
  /**
   * Time after winning during which orders of the previous holder may still arrive at an engine
   * that ignores fencing numbers, in milliseconds.
   * @default 3_000
   */
  readonly settleMs?: number;
}
