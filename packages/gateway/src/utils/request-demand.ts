import type { CallerRequest } from '../types/caller-request.ts';

/** Demand that one request adds to its service. */
export function requestDemand({
  promptTokens = 0,
  outputTokens = 0,
}: CallerRequest): Readonly<Record<'requests' | 'promptTokens' | 'outputTokens', number>> {
  return { requests: 1, promptTokens, outputTokens };
}
