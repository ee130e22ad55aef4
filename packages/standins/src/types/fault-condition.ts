/** Limits a fault of a runner to some requests; all given conditions must hold. */
export interface FaultCondition {
  /** Holds only while more than this number of requests run. */
  readonly aboveRunning?: number | undefined;
  /** Holds only after this number of requests, counted since the start of the runner. */
  readonly afterRequests?: number | undefined;
  /** Holds only for requests whose text contains this marker. */
  readonly marker?: string | undefined;
}
