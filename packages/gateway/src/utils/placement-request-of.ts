import type { PlacementRequest } from '@ragwortrudder/routing';
import type { CallerRequest } from '../types/caller-request.ts';

/**
 * Derives the resources that a request needs at a model engine. The last prompt part is unique to
 * the request; the parts before it can be shared.
 */
export function placementRequestOf(
  { promptParts, promptTokens, outputTokens }: CallerRequest,
  failureDomain: string,
  prefillMsPerToken: number,
): PlacementRequest {
  const sharedParts = promptParts.slice(0, -1);
  const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
  const lastTokens = promptParts.at(-1)?.tokens ?? 0;
  const ownTokens = Math.max(lastTokens, (promptTokens ?? 0) - sharedTokens);
  return {
    ownTokens,
    sharedTokens,
    outputTokens: outputTokens ?? 0,
    session: sharedParts.at(-1)?.id ?? '',
    failureDomain,
    prefillMsPerToken,
  };
}
