/** Verdict on a new version in comparison with the old one. */
export interface Verdict {
  readonly state: 'unproved' | 'good' | 'bad';
  readonly reason: string;
  /** Route on which the regression was detected; absent if the test covers all routes. */
  readonly route?: string;
  /** True when a test suggests a regression but is not yet conclusive. */
  readonly inDoubt?: boolean;
  readonly tries: number;
  readonly failures: number;
}
