/** Options of the watch over streams. */
export interface StreamWatchOptions {
  /**
   * Silence that is never suspicious, in milliseconds.
   * @default 500
   */
  readonly minSilenceMs?: number;
  /**
   * Silence above this multiple of the expected gap is suspicious.
   * @default 8
   */
  readonly factor?: number;
  /**
   * Gap between tokens assumed before any was seen, in milliseconds.
   * @default 100
   */
  readonly initialGapMs?: number;
}
