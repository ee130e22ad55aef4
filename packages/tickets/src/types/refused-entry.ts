import type { Refusal } from './refusal.ts';

/** Entry refused because an earlier entry had already used its ticket number. */
export interface RefusedEntry {
  readonly entryId: string;
  readonly number: number;
  readonly position: number;
  readonly refusal: Refusal;
}
