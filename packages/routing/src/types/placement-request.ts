/** What a request asks of a runner. */
export interface PlacementRequest {
  /** Prompt tokens that no runner has cached. */
  readonly ownTokens: number;
  /** Prompt tokens shared with earlier requests of the session. */
  readonly sharedTokens: number;
  readonly outputTokens: number;
  /** Identifies the session whose parts may be cached; empty when there is none. */
  readonly session: string;
  /** Runner that the session's last request was sent to, when that is known. */
  readonly lastRunner?: string;
  readonly failureDomain: string;
  /** Time that an engine takes to read a prompt token, in milliseconds. */
  readonly prefillMsPerToken: number;
}
