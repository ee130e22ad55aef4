import type { Queued } from './queued.ts';
import type { Refused } from './refused.ts';

/** Result of offering a request to an admission queue. */
export type Admission = Queued | Refused;
