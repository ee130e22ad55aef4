/** Bounds of the promises. */
export interface CheckerOptions {
  /**
   * Time from acceptance until a ticket is in force at every node, in milliseconds.
   * @default 16_000
   */
  readonly ticketInForceMs?: number;
  /**
   * Time from a reclaim notice until the endpoint receives no new work, in milliseconds.
   * @default 5_000
   */
  readonly leavingEndpointMs?: number;
  /**
   * Time from the proof of badness until a bad version receives no new work, in milliseconds.
   * @default 5_000
   */
  readonly badVersionStopMs?: number;
  /**
   * Largest share of a service's runs that a bad version may receive.
   * @default 0.1
   */
  readonly badVersionShare?: number;
  /**
   * Runs of a bad version that are allowed whatever their share.
   * @default 20
   */
  readonly badVersionRuns?: number;
  /**
   * Faults after whose `start` or `once` a non-idempotent request may end as `unknown`.
   * @default ['kill']
   */
  readonly unannouncedFaults?: readonly string[];
  /**
   * Whether a caller may have to reconnect during a planned stop to get the rest of its answer.
   * @default true
   */
  readonly reconnectAllowed?: boolean;
}
