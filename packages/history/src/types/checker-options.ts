/** Bounds that the checkers apply. */
export interface CheckerOptions {
  /**
   * Maximum time from the acceptance of a ticket until it is in force on every node, in milliseconds.
   * @default 16_000
   */
  readonly ticketInForceMs?: number;
  /**
   * Maximum time after a reclaim notice during which the endpoint may still receive new requests, in
   * milliseconds.
   * @default 5_000
   */
  readonly leavingEndpointMs?: number;
  /**
   * Maximum time after a version is proven bad during which it may still receive new requests, in
   * milliseconds.
   * @default 5_000
   */
  readonly badVersionStopMs?: number;
  /**
   * Maximum share of a service's runs that a bad version may receive.
   * @default 0.1
   */
  readonly badVersionShare?: number;
  /**
   * Number of runs that a bad version may receive regardless of their share.
   * @default 20
   */
  readonly badVersionRuns?: number;
  /**
   * Faults without prior notice. Once one has occurred (`start` or `once`), a non-idempotent request
   * may end as `unknown`.
   * @default ['kill']
   */
  readonly unannouncedFaults?: readonly string[];
  /**
   * Whether a planned stop may force a caller to reconnect to receive the rest of its response.
   * @default true
   */
  readonly reconnectAllowed?: boolean;
}
