/** Resources that a request needs from a runner, and the session that it belongs to. */
export interface PlacementRequest {
  /** Prompt tokens that no runner has cached. */
  readonly ownTokens: number;
  /** Prompt tokens shared with earlier requests of the session. */
  readonly sharedTokens: number;
  readonly outputTokens: number;
  /** Identifies the session whose prefix may be cached; empty when there is none. */
  readonly session: string;
  /** Runner that the session's last request was sent to, if known. */
  readonly lastRunner?: string;
  readonly failureDomain: string;
  /** Prefill time per prompt token, in milliseconds. */
  readonly prefillMsPerToken: number;
}
