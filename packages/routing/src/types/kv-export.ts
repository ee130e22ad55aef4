/** Properties of a KV cache transfer. */
export interface KvExport {
  /** Tokens in the request's KV cache. */
  readonly tokens: number;
  /** Tokens transferred per second. */
  readonly tokensPerSecond: number;
  /** Fixed time of export and import in milliseconds. */
  readonly overheadMs: number;
}
