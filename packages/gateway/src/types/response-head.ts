import type { RunnerLoad } from './runner-load.ts';

/** Status line and headers of a runner's response. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly contentType: string | undefined;
  readonly requestId: string | undefined;
  /** Set only on responses that the runner produced by executing a request. */
  readonly signature: string | undefined;
  /** The runner declared that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** The runner declared that it is leaving; it ends soon and must get no new requests. */
  readonly isLeaving: boolean;
  readonly load: RunnerLoad | undefined;
  /** Time until the runner is warm, in milliseconds; undefined when it does not say. */
  readonly coldMs?: number | undefined;
  /** Requests per second that the runner accepts from all nodes together; undefined without a limit. */
  readonly requestsPerSecond: number | undefined;
  /**
   * Rejections per second, of requests of all nodes together, beyond which the runner falls over;
   * undefined when it bears any number.
   */
  readonly rejectionsPerSecond: number | undefined;
  /** Time after which the request may be sent again, in milliseconds; undefined when none is given. */
  readonly retryAfterMs: number | undefined;
  /** Cause with which a peer rejected a request that was passed on to it. */
  readonly rejection?: string;
}
