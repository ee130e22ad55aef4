import type { CallerRequest } from '../types/caller-request.ts';

/** Ids of the prompt parts that other requests may share: all but the last one. */
export function sharedPartsOf({ promptParts }: CallerRequest): readonly string[] {
  return promptParts.slice(0, -1).map(({ id }) => id);
}
