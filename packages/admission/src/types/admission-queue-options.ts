import type { Random } from '@ragwortrudder/core';
import type { RequestClass } from './request-class.ts';

/** Options of an admission queue. */
export interface AdmissionQueueOptions {
  /** Random source for the jitter of retry delays. */
  readonly random: Random;
  /**
   * Maximum number of queued requests per class.
   * @default 1024
   */
  readonly maxQueued?: number;
  /**
   * Maximum fraction of a class's queue that one tenant may fill.
   * @default 0.5
   */
  readonly maxTenantShare?: number;
  /**
   * Weights of the classes in fair queuing.
   * @default interactive 9, batch 1
   */
  readonly classWeights?: Readonly<Record<RequestClass, number>>;
  /**
   * Weights of tenants in fair queuing; a tenant that is not listed has weight 1.
   * @default none
   */
  readonly tenantWeights?: ReadonlyMap<string, number>;
  /**
   * Drain rate in cost per second, assumed until one is measured.
   * @default unlimited
   */
  readonly initialDrainRate?: number;
  /**
   * Maximum retry delay returned with a refusal, in milliseconds.
   * @default 60000
   */
  readonly maxRetryAfterMs?: number;
}
