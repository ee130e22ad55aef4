import type { TeamLimit } from '@ragwortrudder/catalog';
import type { CallerRequest } from '../types/caller-request.ts';

/** Quota cost of a request, in the unit of the team's limit. */
export function costOf(
  { promptTokens, outputTokens }: Pick<CallerRequest, 'promptTokens' | 'outputTokens'>,
  { unit, plainTokens }: TeamLimit,
): number {
  if (unit === 'requests') return 1;
  if (promptTokens === undefined && outputTokens === undefined) return plainTokens;
  return (promptTokens ?? 0) + (outputTokens ?? 0);
}
