/** Work at one runner. */
export interface RunnerWork {
  readonly requests: number;
  /** Prompt tokens of requests that have no first token yet. */
  readonly prefillTokens: number;
  /** Tokens of all requests at the runner. */
  readonly kvTokens: number;
}
