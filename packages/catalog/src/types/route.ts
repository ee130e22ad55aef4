import type { RequestKind } from './request-kind.ts';
import type { WeightedService } from './weighted-service.ts';

/** Settings for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time from the arrival of a request to the end of its response, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency of a response in milliseconds; for streams, of the first event. */
  readonly latencyTargetMs: number;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Maximum number of runners to which one request may be sent. */
  readonly maxAttempts: number;
  /** True when callers need no API key. */
  readonly isPublic: boolean;
  /** True when an interrupted stream may resume at another runner after its last event. */
  readonly isResumable: boolean;
  /** Target maximum gap between two events of a stream, in milliseconds; 0 when not a stream. */
  readonly maxGapMs: number;
  /** Home regions: requests reach no runner elsewhere; absent when they may be served anywhere. */
  readonly allowedRegions?: readonly string[];
}
