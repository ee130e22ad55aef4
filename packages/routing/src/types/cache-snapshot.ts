/** All prefixes in an engine's cache after the event with sequence number `seq`. */
export interface CacheSnapshot {
  readonly seq: number;
  readonly prefixes: readonly string[];
}
