import type { Random } from '@ragwortrudder/core';

/** Options of a caller's client. */
export interface ClientOptions {
  /** Addresses of nodes, `host:port`; they are tried in turn. */
  readonly nodes: readonly string[];
  /** Key of the tenant. */
  readonly key: string;
  readonly random: Random;
  /**
   * Time to connect in milliseconds.
   * @default 1000
   */
  readonly connectMs?: number;
  /**
   * Longest silence of a stream in milliseconds, heartbeats included, before the client reconnects.
   * @default 15000
   */
  readonly silenceMs?: number;
}
