/** Estimated speed of a boot of a runner. */
export interface SpeedEstimate {
  /** Time that work takes there, relative to the mean of the service. */
  readonly slowness: number;
  /** Number of samples that the estimate is based on, after discounting. */
  readonly samples: number;
  /** Number of these samples that are of this node. */
  readonly ownSamples: number;
  /** Time since the last sample or report, in milliseconds. */
  readonly ageMs: number;
}
