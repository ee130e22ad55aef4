import type { FirstTokenEstimate } from './first-token-estimate.ts';
import type { RunnerView } from './runner-view.ts';

/** Outcome of a routing decision. */
export interface RoutingChoice {
  readonly runner: RunnerView;
  readonly estimate: FirstTokenEstimate;
  /** Number of runners whose cost was compared. */
  readonly compared: number;
}
