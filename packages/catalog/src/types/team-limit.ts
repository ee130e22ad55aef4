/** Rate limit of a team across all nodes: a token bucket. */
export interface TeamLimit {
  /** Refill rate per second, in the limit's unit. */
  readonly perSecond: number;
  /** Capacity of the bucket, in the limit's unit. */
  readonly burst: number;
  readonly unit: 'requests' | 'tokens';
  /** Cost of a request that does not declare its tokens; used with the unit `tokens`. */
  readonly plainTokens: number;
}
