/** Options of all commands that call nodes. */
export interface ConnectionOptions {
  /** Addresses of nodes, `host:port`; if a node does not answer, the next one is tried. */
  readonly node: readonly string[];
  /** File that holds the key. */
  readonly 'key-file': string | undefined;
  readonly json: boolean;
}
