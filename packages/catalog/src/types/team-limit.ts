/** Cap on what a team may use over all nodes together: a token bucket. */
export interface TeamLimit {
  /** Refill per second, in the limit's unit. */
  readonly perSecond: number;
  /** Size of the bucket, in the limit's unit. */
  readonly burst: number;
  readonly unit: 'requests' | 'tokens';
  /** Cost of a request that does not state its tokens; used with the unit `tokens`. */
  readonly plainTokens: number;
}
