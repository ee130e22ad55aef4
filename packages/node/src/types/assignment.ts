import type { RoutingRequest } from '@ragwortrudder/routing';
import type { Runner } from '../node/runners/runner.ts';

/** Room reserved on a runner for one attempt at a request. */
export interface Assignment {
  readonly runner: Runner;
  readonly version: string;
  readonly request: RoutingRequest;
  /** Expected time to the first token or answer in milliseconds. */
  readonly expectedMs: number;
  /** The same at the speeds by which the versions of a move are compared; `expectedMs` without a move. */
  readonly referenceMs: number;
}
