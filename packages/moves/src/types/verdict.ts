/** Judgement of a new version against the old one. */
export interface Verdict {
  readonly state: 'unproved' | 'good' | 'bad';
  readonly reason: string;
  /** Route on which the badness showed; absent when it showed over all routes. */
  readonly route?: string;
  /** True when some test points to badness without being sure. */
  readonly inDoubt?: boolean;
  readonly tries: number;
  readonly failures: number;
}
