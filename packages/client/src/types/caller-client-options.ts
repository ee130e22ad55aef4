import type { Random } from '@ragwortrudder/core';

/** Options of `CallerClient`. */
export interface CallerClientOptions {
  /** Addresses of nodes, `host:port`; tried in round-robin order. */
  readonly nodes: readonly string[];
  /** API key of the tenant. */
  readonly key: string;
  readonly random: Random;
  /**
   * Connection time-out in milliseconds.
   * @default 1000
   */
  readonly connectMs?: number;
  /**
   * Time in milliseconds without data on a stream, not even a heartbeat, after which the client
   * reconnects.
   * @default 15000
   */
  readonly idleTimeoutMs?: number;
}
