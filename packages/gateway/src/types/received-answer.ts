import type { RunnerEntry } from '@ragwortrudder/catalog';
import type { AttemptOutcome } from './attempt-outcome.ts';

/** Complete response of a runner. */
export interface ReceivedAnswer {
  readonly entry: RunnerEntry;
  readonly outcome: Extract<AttemptOutcome, { readonly kind: 'answered' }>;
}
