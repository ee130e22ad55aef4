import type { PlacementCandidate } from '@ragwortrudder/routing';
import type { ChosenRunner } from './chosen-runner.ts';

/** Runner that a request would be sent to, and all among which it was chosen. */
export interface PlacementSurvey {
  readonly chosen: ChosenRunner;
  readonly candidates: readonly PlacementCandidate[];
}
