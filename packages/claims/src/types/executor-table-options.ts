import type { Clock, Random } from '@ragwortrudder/core';
import type { Owner } from './owner.ts';

/** Options of the table of one executor. */
export interface ExecutorTableOptions {
  readonly self: Owner;
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Largest number of keys held; beyond it no key is issued or taken over.
   * @default 100_000
   */
  readonly maxKeys?: number;
  /**
   * How long an issued key may stay unused, in milliseconds.
   * @default 600_000
   */
  readonly unusedLifetimeMs?: number;
  /**
   * How long outcomes and expired or transferred keys are remembered, in milliseconds.
   * @default 86_400_000
   */
  readonly retentionMs?: number;
  /**
   * How long a transfer message is valid, in milliseconds.
   * @default 60_000
   */
  readonly transferLifetimeMs?: number;
}
