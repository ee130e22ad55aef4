import type { Experiment } from '../types/experiment.ts';
import { admission } from './admission.ts';
import { applicationRouting } from './application-routing.ts';
import { onceOnly } from './once-only.ts';
import { reclaims } from './reclaims.ts';
import { retries } from './retries.ts';
import { routing } from './routing.ts';
import { silent } from './silent.ts';
import { supply } from './supply.ts';
import { versionMoves } from './version-moves.ts';

/** All benchmark experiments. */
export const experiments: readonly Experiment[] = [
  routing,
  admission,
  retries,
  applicationRouting,
  onceOnly,
  supply,
  versionMoves,
  reclaims,
  silent,
];
