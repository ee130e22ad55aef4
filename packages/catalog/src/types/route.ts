import type { RequestKind } from './request-kind.ts';
import type { WeightedService } from './weighted-service.ts';

/** Requests of one host and path prefix, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time from the arrival of a request to its final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time in milliseconds within which an answer is on time; for streams, the time to the first event. */
  readonly latencyTargetMs: number;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Number of runners to which one request may be sent. */
  readonly maxAttempts: number;
  /** Callers need no key. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another runner, after its last event. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream that is on time, in milliseconds; 0 when not a stream. */
  readonly maxGapMs: number;
}
