import type { BatchOptions } from './batch-options.ts';

/** Options of a model runner. */
export interface EngineOptions extends BatchOptions {
  readonly id: string;
  /** @default '127.0.0.1' */
  readonly host?: string | undefined;
  /**
   * Port, 0 for any free one.
   * @default 0
   */
  readonly port?: number | undefined;
  /**
   * Blocks of 16 tokens that the prefix cache holds.
   * @default 1024
   */
  readonly cacheBlocks?: number | undefined;
  /**
   * Delay of cache events in milliseconds.
   * @default 200
   */
  readonly cacheEventDelayMs?: number | undefined;
  /**
   * Share of cache events that are lost.
   * @default 0.02
   */
  readonly cacheEventLossRate?: number | undefined;
  /**
   * Lag of load reports in milliseconds.
   * @default 200
   */
  readonly loadLagMs?: number | undefined;
  /**
   * Time to export or import a token of KV cache in milliseconds.
   * @default 0.01
   */
  readonly kvTokenMs?: number | undefined;
  /**
   * True when orders with an old fence are refused.
   * @default true
   */
  readonly fencing?: boolean | undefined;
  /** @default 1 */
  readonly seed?: number | undefined;
}
