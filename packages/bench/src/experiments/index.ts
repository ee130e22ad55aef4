import type { Experiment } from '../types/experiment.ts';
import { admission } from './admission.ts';
import { retries } from './retries.ts';
import { routing } from './routing.ts';

/** Experiments of the bench. */
export const experiments: readonly Experiment[] = [routing, admission, retries];
