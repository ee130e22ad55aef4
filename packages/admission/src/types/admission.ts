import type { Queued } from './queued.ts';
import type { Refused } from './refused.ts';

/** Answer to an offered request. */
export type Admission = Queued | Refused;
