/** Options of stream progress monitoring. */
export interface StreamMonitorOptions {
  /**
   * Silence up to this length never triggers a probe, in milliseconds.
   * @default 500
   */
  readonly minSilenceMs?: number;
  /**
   * Silence longer than this multiple of the expected gap between tokens triggers a probe.
   * @default 8
   */
  readonly factor?: number;
  /**
   * Gap between tokens assumed until enough gaps have been measured, in milliseconds.
   * @default 100
   */
  readonly initialGapMs?: number;
}
