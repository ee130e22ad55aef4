/** Result of one request, as counted in the evidence. */
export interface Outcome {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** Load of the runner when the request was sent, 0 to 1. */
  readonly load: number;
  /** `excused`: the request failed for a reason that the version did not cause. */
  readonly kind: 'success' | 'failure' | 'excused';
  /** Time to first token divided by the expected time; only for successful requests. */
  readonly latencyRatio?: number;
}
