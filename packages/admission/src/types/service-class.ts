/** Requests of a service that have the same priority and target. */
export interface ServiceClass {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly latencyTargetMs: number;
}
