import type { Refusal } from './refusal.ts';

/** Entry refused because another entry had used its ticket's number. */
export interface RefusedEntry {
  readonly entryId: string;
  readonly number: number;
  readonly position: number;
  readonly refusal: Refusal;
}
