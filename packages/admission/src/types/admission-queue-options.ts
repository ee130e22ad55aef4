import type { Random } from '@ragwortrudder/core';
import type { RequestClass } from './request-class.ts';

/** Options of an admission queue. */
export interface AdmissionQueueOptions {
  /** Source of the jitter of retry delays. */
  readonly random: Random;
  /**
   * Greatest number of queued requests per class.
   * @default 1024
   */
  readonly maxQueued?: number;
  /**
   * Greatest part of a class's queue that one tenant may fill.
   * @default 0.5
   */
  readonly maxTenantShare?: number;
  /**
   * Weights of the classes.
   * @default interactive 9, batch 1
   */
  readonly classWeights?: Readonly<Record<RequestClass, number>>;
  /**
   * Weights of tenants; a tenant not listed has weight 1.
   * @default none
   */
  readonly tenantWeights?: ReadonlyMap<string, number>;
  /**
   * Cost drained per second that is assumed before any was measured.
   * @default unlimited
   */
  readonly initialDrainRate?: number;
  /**
   * Greatest retry delay given, in milliseconds.
   * @default 60000
   */
  readonly maxRetryAfterMs?: number;
}
