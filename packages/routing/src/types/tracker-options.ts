import type { CacheIndexOptions } from './cache-index-options.ts';

/** Options of a runner's tracker. */
export interface TrackerOptions {
  /**
   * Prefill rate in prompt tokens per second, assumed until one is measured or reported.
   * @default 8000
   */
  readonly prefillRate?: number;
  /**
   * Duration of a decoding step in milliseconds, assumed until one is measured or reported.
   * @default 25
   */
  readonly decodeStepMs?: number;
  /**
   * Service time of a request in milliseconds, assumed until one is measured.
   * @default 20
   */
  readonly serviceTimeMs?: number;
  /**
   * Network round-trip time in milliseconds, assumed until one is measured.
   * @default 1
   */
  readonly networkMs?: number;
  /** Size limits of the prefix cache index. */
  readonly cache?: CacheIndexOptions;
}
