import type { RoutingRequest } from '@ragwortrudder/routing';
import type { Runner } from '../node/runners/runner.ts';

/** Capacity reserved on a runner for one attempt at a request. */
export interface Assignment {
  readonly runner: Runner;
  readonly version: string;
  readonly request: RoutingRequest;
  /** Expected time to the first token (model) or to the response (application), in milliseconds. */
  readonly expectedMs: number;
  /**
   * The same estimate at the reference speeds by which the versions of a rollout are compared.
   * Equals `expectedMs` when no rollout is in progress.
   */
  readonly referenceMs: number;
}
