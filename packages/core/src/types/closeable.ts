/** Owner of timers, sockets or other resources that must be released explicitly. */
export interface Closeable {
  /** Releases all held resources; safe to call more than once. */
  close(): Promise<void>;
}
