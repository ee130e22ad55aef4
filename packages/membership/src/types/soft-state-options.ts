import type { Incarnation } from '@ragwortrudder/core';

/** Options of a soft state. */
export interface SoftStateOptions<Value> {
  /** Incarnation under which this node publishes. */
  readonly origin: Incarnation;
  /** Tells whether a received value has the right shape; others are dropped and counted. */
  readonly accepts: (value: unknown) => value is Value;
}
