import type { RunnerEntry } from '@ragwortrudder/catalog';

/** Runner that a request is to be sent to. */
export interface ChosenRunner {
  readonly entry: RunnerEntry;
  /** Expected time to the first token, in milliseconds, or 0 without an estimate. */
  readonly expectedMs: number;
  readonly prefillTokens: number;
  /** Slowness of the runner that the expected time includes. */
  readonly slowness: number;
  /**
   * The request goes over a connection that is open.
   * @default false
   */
  readonly usesOpen?: boolean;
}
