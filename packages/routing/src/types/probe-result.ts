/** Result of a probe of an endpoint on a fresh connection. */
export interface ProbeResult {
  /** True when the endpoint answered. */
  readonly reachable: boolean;
  /** Decoding step time from the load report in the answer, in milliseconds. */
  readonly stepMs?: number;
}
