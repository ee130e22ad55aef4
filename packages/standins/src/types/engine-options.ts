import type { BatchOptions } from './batch-options.ts';

/** Options of a model runner. */
export interface EngineOptions extends BatchOptions {
  readonly id: string;
  /**
   * Host to listen on.
   * @default '127.0.0.1' with a port, otherwise a loopback address of this process alone
   */
  readonly host?: string | undefined;
  /**
   * Port to listen on; 0 selects any free port.
   * @default 0 with a host, otherwise a port that no outgoing connection can get
   */
  readonly port?: number | undefined;
  /**
   * Capacity of the prefix cache in blocks of 16 tokens.
   * @default 1024
   */
  readonly cacheBlocks?: number | undefined;
  /**
   * Delay in milliseconds before a cache event is published.
   * @default 200
   */
  readonly cacheEventDelayMs?: number | undefined;
  /**
   * Fraction of cache events that are lost.
   * @default 0.02
   */
  readonly cacheEventLossRate?: number | undefined;
  /**
   * Delay in milliseconds before a change of the load appears in load reports.
   * @default 200
   */
  readonly loadLagMs?: number | undefined;
  /**
   * Time in milliseconds to export or import the KV cache of one token.
   * @default 0.01
   */
  readonly kvTokenMs?: number | undefined;
  /**
   * Whether orders with an outdated fence are rejected.
   * @default true
   */
  readonly fencing?: boolean | undefined;
  /** @default 1 */
  readonly seed?: number | undefined;
}
