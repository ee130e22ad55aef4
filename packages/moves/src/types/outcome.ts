/** Result of one request as the evidence counts it. */
export interface Outcome {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** Load of the runner when the request was sent, 0 to 1. */
  readonly load: number;
  /** `excused`: it failed for a cause outside the version. */
  readonly kind: 'success' | 'failure' | 'excused';
  /** Time to the first token divided by the expected time; for successes. */
  readonly latencyRatio?: number;
}
