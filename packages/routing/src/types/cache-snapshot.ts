/** All prefixes that an engine holds after the event `seq`. */
export interface CacheSnapshot {
  readonly seq: number;
  readonly prefixes: readonly string[];
}
