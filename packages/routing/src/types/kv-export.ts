/** Parameters of a KV cache transfer between two engines. */
export interface KvExport {
  /** Tokens in the request's KV cache. */
  readonly tokens: number;
  /** Tokens transferred per second. */
  readonly tokensPerSecond: number;
  /** Fixed overhead of export and import in milliseconds. */
  readonly overheadMs: number;
}
