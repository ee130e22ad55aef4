/** Work in progress at one runner. */
export interface RunnerWork {
  readonly requests: number;
  /** Prompt tokens of requests that have not produced a first token. */
  readonly prefillTokens: number;
  /** Tokens of all requests at the runner, as an estimate of its KV cache use. */
  readonly kvTokens: number;
}
