import type { Incarnation } from '@ragwortrudder/core';

/** Options of a soft state. */
export interface SoftStateOptions<Value> {
  /** Incarnation under which the local node publishes. */
  readonly origin: Incarnation;
  /** Type guard for received values; entries that fail it are dropped and counted. */
  readonly isValid: (value: unknown) => value is Value;
}
