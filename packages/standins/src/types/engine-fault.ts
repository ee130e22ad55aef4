import type { FaultCondition } from './fault-condition.ts';

/** Faults of a model runner; each POST replaces the members that it names. */
export interface EngineFault {
  /**
   * Share of requests that fail.
   * @default 0
   */
  readonly failRate?: number | undefined;
  /**
   * How a request fails: by an error event on the stream, by status 500, or by a connection that is destroyed.
   * @default 'event'
   */
  readonly failAs?: 'event' | 'status' | 'disconnect' | undefined;
  /**
   * Tokens that a failing stream sends before it fails.
   * @default 0
   */
  readonly failAfterTokens?: number | undefined;
  /**
   * Factor on the time of each step; with a marker, matching streams advance only every n-th step.
   * @default 1
   */
  readonly slowFactor?: number | undefined;
  /** Requests to which `failRate` and `slowFactor` apply. */
  readonly condition?: FaultCondition | undefined;
  /** True freezes the streams open now for good; later ones work. */
  readonly stall?: boolean | undefined;
  /** True refuses connections and destroys the open ones. */
  readonly refuse?: boolean | undefined;
  /** True answers requests with 503. */
  readonly reject?: boolean | undefined;
  /** True reports that the VM of the runner is leaving. */
  readonly leaving?: boolean | undefined;
}
