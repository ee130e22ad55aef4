import type { PlacementRequest } from '@ragwortrudder/routing';
import type { CallerRequest } from '../types/caller-request.ts';

/** What a request asks of a model engine. The last part of the prompt is the request's own. */
export function placementRequestOf(
  { promptParts, promptTokens, outputTokens }: CallerRequest,
  failureDomain: string,
  prefillMsPerToken: number,
): PlacementRequest {
  const shared = promptParts.slice(0, -1);
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const lastTokens = promptParts.at(-1)?.tokens ?? 0;
  const ownTokens = Math.max(lastTokens, (promptTokens ?? 0) - sharedTokens);
  return {
    ownTokens,
    sharedTokens,
    outputTokens: outputTokens ?? 0,
    session: shared.at(-1)?.id ?? '',
    failureDomain,
    prefillMsPerToken,
  };
}
