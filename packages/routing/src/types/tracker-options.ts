import type { CacheIndexOptions } from './cache-index-options.ts';

/** Options of a runner's tracker. */
export interface TrackerOptions {
  /**
   * Prompt tokens per second assumed before any was measured or reported.
   * @default 8000
   */
  readonly prefillRate?: number;
  /**
   * Decoding step in milliseconds assumed before any was measured or reported.
   * @default 25
   */
  readonly decodeStepMs?: number;
  /**
   * Service time of a request in milliseconds assumed before any was measured.
   * @default 20
   */
  readonly serviceTimeMs?: number;
  /**
   * Round trip in milliseconds assumed before any was measured.
   * @default 1
   */
  readonly networkMs?: number;
  /** Bounds of the knowledge of the prefix cache. */
  readonly cache?: CacheIndexOptions;
}
