import type { Clock, Random } from '@ragwortrudder/core';
import type { Owner } from './owner.ts';

/** Options of the {@link ExecutorTable} of one node. */
export interface ExecutionRegistryOptions {
  readonly self: Owner;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Maximum number of keys; beyond it, no key is issued or received in a transfer.
   * @default 100_000
   */
  readonly maxKeys?: number;
  /**
   * Time for which an issued key may stay unused, in milliseconds.
   * @default 600_000
   */
  readonly unusedLifetimeMs?: number;
  /**
   * Retention of outcomes and of transferred keys, in milliseconds.
   * @default 86_400_000
   */
  readonly retentionMs?: number;
  /**
   * Validity of a transfer message, in milliseconds.
   * @default 60_000
   */
  readonly transferLifetimeMs?: number;
}
