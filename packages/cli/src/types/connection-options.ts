/** Options of each command that calls nodes. */
export interface ConnectionOptions {
  /** Addresses of nodes, `host:port`; the next one is asked when one does not answer. */
  readonly node: readonly string[];
  /** File that holds the key. */
  readonly 'key-file': string | undefined;
  readonly json: boolean;
}
