import type { InterruptedRequest } from './interrupted-request.ts';
import type { ServedRequest } from './served-request.ts';

/** What nodes have seen of crashes and of served requests. */
export interface CrashHistory {
  /** Interrupted requests, without those at runners that a known part or request has ended. */
  readonly interrupted: readonly InterruptedRequest[];
  /** Interrupted requests at such runners, without the known ones themselves. */
  readonly explained: readonly InterruptedRequest[];
  /** Interrupted requests at runners that known whole requests, but no known part, have ended. */
  readonly explainedByRequests: readonly InterruptedRequest[];
  /** When a request with a part was last served, by any node. */
  readonly servedAt: (part: string) => number;
  /** Requests that this node has served recently, whatever their parts. */
  readonly served: readonly ServedRequest[];
  /** Number of requests that all nodes have served recently. */
  readonly servedCount: number;
}
