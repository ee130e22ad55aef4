/** Request whose runner closed the connection before the response had lasted for a while. */
export interface InterruptedRequest {
  /** Incarnation of the runner. */
  readonly runner: string;
  /** Distinguishes requests; attempts of one request share it. */
  readonly request: string;
  /** Key of the whole request, if it is known, and the prompt parts that other requests may share. */
  readonly parts: readonly string[];
  /** The response had begun; other requests may only have been waiting at the runner. */
  readonly hasResponded: boolean;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}
