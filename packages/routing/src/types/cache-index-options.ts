/** Size limits of the index of one runner's prefix cache. */
export interface CacheIndexOptions {
  /**
   * Maximum number of prefixes indexed from cache events.
   * @default 8192
   */
  readonly maxHints?: number;
  /**
   * Maximum number of prefixes indexed from this node's own requests.
   * @default 4096
   */
  readonly maxSent?: number;
}
