/** Bounds of the knowledge kept of one runner's prefix cache. */
export interface CacheIndexOptions {
  /**
   * Greatest number of prefixes known from cache events.
   * @default 8192
   */
  readonly maxHints?: number;
  /**
   * Greatest number of prefixes remembered from this node's own requests.
   * @default 4096
   */
  readonly maxSent?: number;
}
