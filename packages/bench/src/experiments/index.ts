import type { Experiment } from '../types/experiment.ts';
import { admission } from './admission.ts';
import { applicationRouting } from './application-routing.ts';
import { onceOnly } from './once-only.ts';
import { retries } from './retries.ts';
import { routing } from './routing.ts';
import { supply } from './supply.ts';

/** Experiments of the bench. */
export const experiments: readonly Experiment[] = [
  routing,
  admission,
  retries,
  applicationRouting,
  onceOnly,
  supply,
];
